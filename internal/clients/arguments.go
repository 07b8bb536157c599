package clients

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

const (
	maxUnits = 1e9 // of one request

	// unset is the value of an argument that is missing or invalid.
	unset = -1
)

// argument is an argument that the gateway uses; hosts may know others.
type argument int

const (
	argumentUnknown argument = iota
	argumentClass
	argumentPlan
	argumentWait
	argumentKey
	argumentRetry
	argumentUnits
	argumentSpread
	argumentFirst
)

// argumentNamed returns the argument of a name of the wire protocol.
func argumentNamed(name []byte) argument {
	switch string(name) {
	case "c":
		return argumentClass
	case "t":
		return argumentPlan
	case "d":
		return argumentWait
	case "k":
		return argumentKey
	case "r":
		return argumentRetry
	case "units":
		return argumentUnits
	case "spread":
		return argumentSpread
	case "first":
		return argumentFirst
	}
	return argumentUnknown
}

// arguments is the list of names and values of a request.
type arguments struct {
	list      []byte
	terms     requestTerms
	wait      time.Duration
	retry     bool
	waitStart int  // of the number of d in the list
	waitEnd   int  // of the same
	seen      uint // bits by argument
}

// newArguments returns the arguments of a list, all of them unset.
func newArguments(list []byte, readOnly bool) *arguments {
	return &arguments{
		list: list,
		wait: unset,
		terms: requestTerms{
			class:        unset,
			plan:         unset,
			units:        unset,
			spread:       unset,
			firstGateway: unset,
			readOnly:     readOnly,
		},
	}
}

// parse parses the list.
func (a *arguments) parse(catalog *Catalog) error {
	members := catalog.memberCount()
	for start := 0; start < len(a.list); {
		length := bytes.IndexByte(a.list[start:], ',')
		if length < 0 {
			length = len(a.list) - start
		}
		name, value, _ := bytes.Cut(a.list[start:start+length], []byte{'='})
		if arg := argumentNamed(name); arg != argumentUnknown {
			if a.seen&(1<<arg) > 0 { // the host might use the other one
				return fmt.Errorf("%s: given twice", name)
			}
			a.seen |= 1 << arg
			a.set(catalog, members, arg, value, start)
		}
		start += length + 1
	}
	return a.checkComplete()
}

// set parses one value, whose argument starts at an offset of the list. An invalid value leaves the argument unset.
func (a *arguments) set(catalog *Catalog, members int, arg argument, value []byte, offset int) {
	switch arg {
	case argumentClass:
		a.terms.class = catalog.class(value)
	case argumentPlan:
		a.terms.plan = catalog.plan(value)
	case argumentWait:
		a.setWait(value, offset+len("d="))
	case argumentUnits:
		units, err := strconv.ParseFloat(string(value), 64)
		if err == nil && units > 0 && units <= maxUnits {
			a.terms.units = units
		}
	case argumentSpread:
		a.terms.spread = parseIndex(value, 1, members)
	case argumentFirst:
		a.terms.firstGateway = parseIndex(value, 0, members-1)
	case argumentKey:
		a.terms.hasKey = len(value) > 0
	case argumentRetry:
		a.retry = string(value) == "1"
	}
}

// setWait parses the value of d, which starts at an offset of the list.
func (a *arguments) setWait(value []byte, offset int) {
	milliseconds, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || milliseconds == 0 {
		return
	}
	a.wait = time.Duration(milliseconds) * time.Millisecond
	a.waitStart = offset
	a.waitEnd = offset + len(value)
}

// checkComplete returns an error of the first required argument that is unset.
func (a *arguments) checkComplete() error {
	switch {
	case a.terms.class < 0:
		return missingArgument("c")
	case a.terms.plan < 0:
		return missingArgument("t")
	case a.wait < 0:
		return missingArgument("d")
	case a.terms.units < 0:
		return missingArgument("units")
	case a.terms.spread < 0:
		return missingArgument("spread")
	case a.terms.firstGateway < 0:
		return missingArgument("first")
	}
	return nil
}

// missingArgument returns the error of a required argument that is unset.
func missingArgument(name string) error {
	return fmt.Errorf("%s: missing, or its value is none that is known", name)
}

// parseIndex parses a whole number within bounds, and returns unset for anything else.
func parseIndex(text []byte, least, most int) int {
	number, err := strconv.ParseUint(string(text), 10, 31)
	if err != nil || int(number) < least || int(number) > most {
		return unset
	}
	return int(number)
}
