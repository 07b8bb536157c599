// Package clients speaks with those who send reqs: commands in, answers out in the commands' order. Wire names
// end here; it decides nothing.
package clients

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"

	"ravensill/internal/resp"
	"ravensill/internal/ring"
)

const customerLimit = "0000000200000000" // no customer's number is so large

var argumentNames = []string{"c", "t", "d", "k", "r", "units", "spread", "first"}

// Door is where decoded commands go. Spans of bytes hold until the call returns.
type commandHandler interface {
	// Arrive hands in a req. wait is how long its client waits. before and after are its list of names and
	// values round the number of d; body is nil where there is none.
	handleRequest(id, customer []byte, terms Terms, wait int64, again bool, verb, before, after, body []byte)
	handlePing()
	handleMalformed(why error) // a command that can't be understood
}

// Commands is the state machine of the bytes that a client sends.
type Commands struct {
	catalog *Catalog
	parser  resp.Parser
}

// Next hands the next whole command to the door and tells whether there was one. After an error the stream
// can't be trusted further.
func (c *Commands) Next(in *ring.Ring, door commandHandler) (bool, error) {
	v, ok, err := c.parser.Next(in)
	if err != nil || !ok {
		return false, err
	}
	if v.Kind != '*' {
		return false, errors.New("commands are arrays of bulk strings")
	}
	if err := c.command(v.Parts, door); err != nil {
		door.handleMalformed(err)
	}
	return true, nil
}

func (c *Commands) command(parts [][]byte, door commandHandler) error {
	if slices.ContainsFunc(parts, func(p []byte) bool { return p == nil }) {
		return errors.New("null in a command")
	}
	terms := Terms{Class: -1, Plan: -1, Units: -1, Spread: -1, First: -1}
	switch string(parts[0]) {
	case "PING":
		door.handlePing()
		return nil
	case verbGet:
		terms.ReadOnly = true
	case verbPost:
	default:
		return fmt.Errorf("unknown command %.40q", parts[0])
	}
	if len(parts) < 4 || len(parts) > 5 {
		return fmt.Errorf("%s: %d words, not 4 or 5", parts[0], len(parts))
	}
	customer, id, list := parts[1], parts[2], parts[3]
	if terms.ReadOnly && len(parts) == 5 {
		return errors.New("CALL.GET takes no body")
	}
	if len(customer) != 16 || string(customer) >= customerLimit || bytes.ContainsFunc(customer, func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'a' || r > 'f')
	}) {
		return fmt.Errorf("customer: %.40q is not 16 hex digits of a number below 2^33", customer)
	}
	if len(id) == 0 || len(id) > 64 || !isPlain(id) {
		return errors.New("id: 1 to 64 bytes wanted, none of them a space or a control")
	}
	if !isPlain(list) {
		return errors.New("names and values: a space or a control among them")
	}
	members := c.catalog.size()
	wait, again, cut, end, seen := int64(-1), false, 0, 0, 0
	for at := 0; at < len(list); {
		n := bytes.IndexByte(list[at:], ',')
		if n < 0 {
			n = len(list) - at
		}
		name, value, _ := bytes.Cut(list[at:at+n], []byte{'='})
		if i := slices.Index(argumentNames, string(name)); i >= 0 {
			if seen&(1<<i) > 0 { // what the host would take is not known
				return fmt.Errorf("%s: given twice", name)
			}
			seen |= 1 << i
		}
		switch string(name) {
		case "c":
			terms.Class = c.catalog.class(value)
		case "t":
			terms.Plan = c.catalog.plan(value)
		case "d":
			if ms, err := strconv.ParseUint(string(value), 10, 31); err == nil && ms > 0 {
				wait, cut, end = int64(ms)*1e6, at+2, at+n
			}
		case "units":
			if x, err := strconv.ParseFloat(string(value), 64); err == nil && x > 0 && x <= 1e9 {
				terms.Units = x
			}
		case "spread":
			terms.Spread = parseIndex(value, 1, members)
		case "first":
			terms.First = parseIndex(value, 0, members-1)
		case "k":
			terms.Key = len(value) > 0
		case "r":
			again = string(value) == "1"
		}
		at += n + 1
	}
	for _, f := range []struct {
		name string
		ok   bool
	}{{"c", terms.Class >= 0}, {"t", terms.Plan >= 0}, {"d", wait >= 0}, {"units", terms.Units >= 0},
		{"spread", terms.Spread >= 0}, {"first", terms.First >= 0}} {
		if !f.ok {
			return fmt.Errorf("%s: missing, or its value is none that is known", f.name)
		}
	}
	if err := c.catalog.check(&terms); err != nil {
		return err
	}
	var body []byte
	if len(parts) == 5 {
		body = parts[4]
	}
	door.handleRequest(id, customer, terms, wait, again, parts[0], list[:cut], list[end:], body)
	return nil
}

// plain tells whether text can be passed on: what a host takes for the end of a word must not be part of one.
func isPlain(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

func parseIndex(text []byte, least, most int) int {
	if n, err := strconv.ParseUint(string(text), 10, 31); err == nil && int(n) >= least && int(n) <= most {
		return int(n)
	}
	return -1
}

// Answer is the place of one command's answer in the order of its connection. The first one given counts.
type Answer struct {
	line       *AnswerQueue
	text       []byte
	done       bool
	ClientGone func() // called if the client goes away before the answer
}

// Line keeps the answers of one connection in the order of its commands.
type AnswerQueue struct {
	out        *ring.Ring
	waiting    []*Answer
	full       bool        // an answer did not fit: the client reads too slowly
	onReady    func(int)   // told how many answers went out with the one just given
	clientGone atomic.Bool // the client is gone, as the reader saw: that overtakes all that waits for the loop
}

func (l *AnswerQueue) Add() *Answer {
	a := &Answer{line: l}
	l.waiting = append(l.waiting, a)
	return a
}

func (a *Answer) Succeed(value []byte) { a.give(successReply(value)) }
func (a *Answer) Reject(after int64)   { a.give(rejection(after)) }
func (a *Answer) Fail(why string)      { a.give(errorReply(why)) }

// Gone tells whether the client has left, also while that is on the way to the loop: nothing more is sent on for it.
func (a *Answer) IsClientGone() bool { return a.line.clientGone.Load() }

// give sets the answer, and lets out all that no earlier command holds back.
func (a *Answer) give(text []byte) {
	if a.done {
		return
	}
	a.text, a.done, a.ClientGone = text, true, nil
	l, n := a.line, 0
	for n < len(l.waiting) && l.waiting[n].done {
		l.full = l.full || !l.out.Write(l.waiting[n].text)
		n++
	}
	l.waiting = slices.Delete(l.waiting, 0, n)
	l.onReady(n)
}

// end forgets the line: its client is gone.
func (l *AnswerQueue) end() {
	wait := l.waiting
	l.waiting = nil
	for _, a := range wait {
		a.done = true
		if a.ClientGone != nil {
			a.ClientGone()
		}
	}
}

func successReply(value []byte) []byte {
	return resp.Bulk(make([]byte, 0, len(value)+16), value)
}

func rejection(after int64) []byte {
	if after <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (after + 999_999) / 1_000_000 // rounded up: earlier would be in vain
	return append(strconv.AppendInt([]byte("-BUSY "), ms, 10), '\r', '\n')
}

func errorReply(why string) []byte {
	clean := bytes.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, []byte(why))
	return append(append([]byte("-ERR "), clean...), '\r', '\n')
}
