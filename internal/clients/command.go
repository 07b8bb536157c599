// Package clients speaks RESP2 with clients: commands in, answers out in the commands' order. Names of the wire end here; it
// decides nothing. A connection has a goroutine that reads it (reader.go); everything else belongs to the gateway's loop.
package clients

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"ravensill/internal/bufconn"
	"ravensill/internal/resp"
)

// Bounds of what a command holds.
const (
	customerDigits  = 16                 // hex digits of a customer's number
	customerLimit   = "0000000200000000" // no customer's number is so large
	maxIDBytes      = 64
	maxUnits        = 1e9
	minCommandWords = 4
	maxCommandWords = 5 // with a body
)

// commandHandler is where decoded commands go. Spans of bytes hold until the call returns.
type commandHandler interface {
	// handleRequest takes in a request. wait is how long its client waits, in nanoseconds. before and after are its list of
	// arguments around the number of d; body is nil where there is none.
	handleRequest(id, customer []byte, terms requestTerms, wait int64, retry bool, verb, before, after, body []byte)
	handlePing()
	handleMalformed(why error) // a command that can't be understood
}

// CommandParser is the state machine of the bytes that a client sends.
type CommandParser struct {
	catalog *Catalog
	parser  resp.Parser
}

var errNoCommand = errors.New("commands are arrays of bulk strings")

// Next hands the next whole command to the handler and reports whether there was one. After an error the stream can't be trusted
// further.
func (c *CommandParser) Next(in *bufconn.Buffer, handler commandHandler) (bool, error) {
	value, whole, err := c.parser.Next(in)
	if err != nil || !whole {
		return false, err
	}
	if value.Kind != '*' {
		return false, errNoCommand
	}
	if err := c.handle(value.Parts, handler); err != nil {
		handler.handleMalformed(err)
	}
	return true, nil
}

// handle hands one command to the handler, or returns why it can't be understood.
func (c *CommandParser) handle(words [][]byte, handler commandHandler) error {
	if slices.ContainsFunc(words, func(word []byte) bool { return word == nil }) {
		return errors.New("null in a command")
	}
	verb := words[0]
	switch string(verb) {
	case "PING":
		handler.handlePing()
		return nil
	case verbGet, verbPost:
	default:
		return fmt.Errorf("unknown command %.40q", verb)
	}
	if err := checkWords(words); err != nil {
		return err
	}
	arguments := newArguments(words[3], string(verb) == verbGet)
	if err := arguments.parse(c.catalog); err != nil {
		return err
	}
	if err := c.catalog.check(&arguments.terms); err != nil {
		return err
	}
	var body []byte
	if len(words) == maxCommandWords {
		body = words[4]
	}
	before, after := arguments.aroundWait()
	handler.handleRequest(words[2], words[1], arguments.terms, arguments.wait, arguments.retry, verb, before, after, body)
	return nil
}

// checkWords looks at the words of a request: verb, customer, id, arguments, and a body where the verb takes one.
func checkWords(words [][]byte) error {
	if len(words) < minCommandWords || len(words) > maxCommandWords {
		return fmt.Errorf("%s: %d words, not 4 or 5", words[0], len(words))
	}
	if string(words[0]) == verbGet && len(words) == maxCommandWords {
		return errors.New("CALL.GET takes no body")
	}
	customer, id, list := words[1], words[2], words[3]
	if !isCustomer(customer) {
		return fmt.Errorf("customer: %.40q is not 16 hex digits of a number below 2^33", customer)
	}
	if len(id) == 0 || len(id) > maxIDBytes || !isPlain(id) {
		return errors.New("id: 1 to 64 bytes wanted, none of them a space or a control")
	}
	if !isPlain(list) {
		return errors.New("names and values: a space or a control among them")
	}
	return nil
}

// isCustomer reports whether text is a customer's number.
func isCustomer(text []byte) bool {
	notHex := func(r rune) bool { return (r < '0' || r > '9') && (r < 'a' || r > 'f') }
	return len(text) == customerDigits && string(text) < customerLimit && !bytes.ContainsFunc(text, notHex)
}

// isPlain reports whether text can be passed on: what a host takes for the end of a word must not be part of one.
func isPlain(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// argument is a name that means something here; hosts may know others.
type argument int

const (
	argumentClass argument = iota
	argumentPlan
	argumentWait
	argumentKey
	argumentRetry
	argumentUnits
	argumentSpread
	argumentFirst
	argumentUnknown argument = -1
)

var argumentNames = []string{"c", "t", "d", "k", "r", "units", "spread", "first"} // by argument

func argumentNamed(name []byte) argument { return argument(slices.Index(argumentNames, string(name))) }

const unset = -1

// arguments is the list of names and values of a request.
type arguments struct {
	list      []byte
	terms     requestTerms
	wait      int64 // nanoseconds
	retry     bool
	waitStart int  // of the number of d in the list
	waitEnd   int  // of the same
	seen      uint // bits by argument
}

func newArguments(list []byte, readOnly bool) *arguments {
	terms := requestTerms{Class: unset, Plan: unset, Units: unset, Spread: unset, First: unset, ReadOnly: readOnly}
	return &arguments{list: list, terms: terms, wait: unset}
}

// aroundWait returns the list up to the number of d, and from there on.
func (a *arguments) aroundWait() (before, after []byte) {
	return a.list[:a.waitStart], a.list[a.waitEnd:]
}

// parse reads all arguments.
func (a *arguments) parse(catalog *Catalog) error {
	members := catalog.size()
	for at := 0; at < len(a.list); {
		length := bytes.IndexByte(a.list[at:], ',')
		if length < 0 {
			length = len(a.list) - at
		}
		name, value, _ := bytes.Cut(a.list[at:at+length], []byte{'='})
		if which := argumentNamed(name); which != argumentUnknown {
			if a.seen&(1<<which) > 0 { // what the host would take is not known
				return fmt.Errorf("%s: given twice", name)
			}
			a.seen |= 1 << which
			a.set(catalog, members, which, value, at)
		}
		at += length + 1
	}
	return a.missing()
}

// set reads one value, whose argument starts at an offset of the list. What can't be read stays unset.
func (a *arguments) set(catalog *Catalog, members int, which argument, value []byte, offset int) {
	switch which {
	case argumentClass:
		a.terms.Class = catalog.class(value)
	case argumentPlan:
		a.terms.Plan = catalog.plan(value)
	case argumentWait:
		milliseconds, err := strconv.ParseUint(string(value), 10, 31)
		if err == nil && milliseconds > 0 {
			a.wait = int64(milliseconds) * int64(time.Millisecond)
			a.waitStart = offset + len("d=")
			a.waitEnd = a.waitStart + len(value)
		}
	case argumentUnits:
		units, err := strconv.ParseFloat(string(value), 64)
		if err == nil && units > 0 && units <= maxUnits {
			a.terms.Units = units
		}
	case argumentSpread:
		a.terms.Spread = parseIndex(value, 1, members)
	case argumentFirst:
		a.terms.First = parseIndex(value, 0, members-1)
	case argumentKey:
		a.terms.HasKey = len(value) > 0
	case argumentRetry:
		a.retry = string(value) == "1"
	}
}

// missing returns an error of the first argument that is needed and was not understood.
func (a *arguments) missing() error {
	switch {
	case a.terms.Class < 0:
		return missingArgument("c")
	case a.terms.Plan < 0:
		return missingArgument("t")
	case a.wait < 0:
		return missingArgument("d")
	case a.terms.Units < 0:
		return missingArgument("units")
	case a.terms.Spread < 0:
		return missingArgument("spread")
	case a.terms.First < 0:
		return missingArgument("first")
	}
	return nil
}

func missingArgument(name string) error {
	return fmt.Errorf("%s: missing, or its value is none that is known", name)
}

// parseIndex reads a whole number within bounds, unset for anything else.
func parseIndex(text []byte, least, most int) int {
	number, err := strconv.ParseUint(string(text), 10, 31)
	if err != nil || int(number) < least || int(number) > most {
		return unset
	}
	return int(number)
}
