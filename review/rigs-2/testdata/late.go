package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The figures of the case late: a store of 9 connections that three gateways share.
const (
	lateGateways = 3
	lateCapacity = 9
	lateService  = 40 * time.Millisecond // of a request at the store
	lateClients  = 6                     // of each gateway, each of another customer
	lateLength   = 20 * time.Second
	lateShare    = 0.02 // of the answers are followed by a second copy
)

// storeFiles returns the configuration files of a fleet whose gateways share the connections of one store and all vote.
func (r *rig) storeFiles(listen []string, capacity, floor int, discovery string, profiles []object) (files []object) {
	peers := r.freeAddresses(len(listen))
	voters := r.freeAddresses(len(listen))
	seats := []int{}
	for i := range listen {
		seats = append(seats, i)
	}
	for i := range listen {
		file := gatewayFile(listen[i], discovery, peers, i, profiles, []object{openPlan()})
		file["pool"] = object{"capacity": capacity, "serial": 1, "reserve": 1, "floor": floor, "lease_ms": 5000,
			"voters": voters, "voter_seats": seats, "key": strings.Repeat("5a", 16), "listen": voters[i],
			"dir": fmt.Sprintf("%s/voter-%d", r.temp, i)}
		files = append(files, file)
	}
	return files
}

// startFleet starts a gateway for each file and waits until all are ready.
func (r *rig) startFleet(listen []string, files []object) {
	for i, file := range files {
		r.startGateway(fmt.Sprintf("n%d", i), file)
	}
	for _, address := range listen {
		r.waitReady(address)
	}
}

// playLate has the store send a second copy of some answers, some milliseconds late.
func playLate(r *rig) bool {
	random := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	copyDelay := func() time.Duration { // 0: no second copy
		mu.Lock()
		defer mu.Unlock()
		if !r.trouble || random.Float64() >= lateShare {
			return 0
		}
		return 2*time.Millisecond + time.Duration(random.Float64()*2*float64(time.Millisecond))
	}
	store := r.newHost(func(c call, write func(string)) {
		time.Sleep(lateService)
		text := value("for "+c.words[2], 0.3)
		write(text)
		if delay := copyDelay(); delay > 0 {
			time.Sleep(delay)
			write(text)
			r.note("store: second copy of the value for %s, connection %d", c.words[2], c.conn)
		}
	})
	listen := r.freeAddresses(lateGateways)
	profiles := []object{profile("lookup", "safe", 600, 2500)}
	r.startFleet(listen, r.storeFiles(listen, lateCapacity, 2, r.newAgent(store).address(), profiles))
	var running sync.WaitGroup
	foreign := make(chan int, lateGateways*lateClients)
	for i := range lateGateways {
		for k := range lateClients {
			running.Go(func() { foreign <- r.askInTurn(i, k, listen[i]) })
		}
	}
	running.Wait()
	total := 0
	for range lateGateways * lateClients {
		total += <-foreign
	}
	r.note("%d requests were served with the value of another one", total)
	return total > 0
}

// askInTurn sends the requests of one customer to a gateway, one after another, and returns how many of them were
// served with a value that no host made for them.
func (r *rig) askInTurn(gateway, k int, address string) (foreign int) {
	c := &keptClient{address: address}
	defer c.close()
	customer := fmt.Sprintf("%016x", 256*gateway+k+1)
	for n := 0; time.Since(r.start) < lateLength; n++ {
		id := fmt.Sprintf("g%d-%d-%d", gateway, k, n)
		arguments := fmt.Sprintf("c=lookup,t=team,d=2500,units=1,spread=%d,first=0", lateGateways)
		sent := time.Now()
		answer := c.call(3*time.Second, "CALL.GET", customer, id, arguments)
		wrong := strings.HasPrefix(answer, "$") && answer != "$for "+id
		r.noteAt(sent, "client of %s: %s: %s%s", customer, id, answer, map[bool]string{true: " FOREIGN"}[wrong])
		if wrong {
			foreign++
		}
		if !strings.HasPrefix(answer, "$") {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return foreign
}
