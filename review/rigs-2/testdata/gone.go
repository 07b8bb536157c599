package main

import (
	"fmt"
	"time"
)

// The figures of the case gone.
const (
	goneGateways = 3
	goneRefusal  = 200 * time.Millisecond // time after which the store, whose queue is full, turns a request away
	goneLeave    = 20 * time.Millisecond  // time after which the client leaves, from the first attempt on
	goneLimit    = 150 * time.Millisecond // after the client has gone: 0.1 s, and 50 ms on sockets
)

// playGone has clients leave while the store is about to turn their requests away.
func playGone(r *rig) bool {
	arrivals := make(chan call, 100)
	store := r.newHost(func(c call, write func(string)) {
		r.noteAt(c.at, "store: attempt of %s, connection %d", c.words[2], c.conn)
		arrivals <- c
		time.Sleep(goneRefusal)
		write("-BUSY\r\n")
		r.note("store: turned away %s, connection %d", c.words[2], c.conn)
	})
	listen := r.freeAddresses(goneGateways)
	profiles := []object{profile("page-fetch", "safe", 1500, 6000)}
	r.startFleet(listen, r.storeFiles(listen, 9, 2, r.newAgent(store).address(), profiles))
	time.Sleep(3 * time.Second) // until a voter leads
	late := 0
	for n, address := range listen {
		late += r.leaveEarly(address, fmt.Sprintf("q%d", n), arrivals)
	}
	r.note("%d attempts began more than %v after the close of their client", late, goneLimit)
	return late > 0
}

// leaveEarly sends a request and closes the client's connection, unless there is no trouble. It returns how many
// attempts of the request began too long after the close.
func (r *rig) leaveEarly(address, id string, arrivals chan call) (late int) {
	c, err := dialClient(address)
	r.require(err, "client")
	defer c.close()
	arguments := fmt.Sprintf("c=page-fetch,t=team,d=6000,units=1,spread=%d,first=0", goneGateways)
	c.conn.Write(encodeCommand("CALL.GET", "00000000000000a1", id, arguments))
	r.note("client: sent %s", id)
	closed := time.Time{}
	for end := time.After(2 * time.Second); ; {
		select {
		case attempt := <-arrivals:
			if closed.IsZero() && r.trouble {
				time.Sleep(goneLeave)
				c.close()
				closed = time.Now()
				r.noteAt(closed, "client: closed the connection of %s", id)
			} else if !closed.IsZero() && attempt.at.Sub(closed) > goneLimit {
				r.note("an attempt of %s began %v after the close", attempt.words[2], attempt.at.Sub(closed))
				late++
			}
		case <-end:
			if !r.trouble {
				line, err := readLine(c.reader)
				r.note("client: answer to %s: %s %v", id, line, err)
			}
			return late
		}
	}
}
