package clients

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

const (
	maxUnits = 1e9 // largest number of units of one request

	// unset is the value of a number or index whose argument is missing, invalid or names something unknown.
	unset = -1
)

// argument identifies an argument of a request that the gateway uses. Hosts may use others.
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

// argumentNamed returns the argument that has the name in the wire protocol, argumentUnknown if there is none.
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

// arguments holds the argument list of a request and the values parsed from it.
type arguments struct {
	list      []byte // name=value pairs, separated by commas
	terms     requestTerms
	wait      time.Duration // value of d: how long the client waits for the answer
	retry     bool          // whether the client marked the request as a retry
	waitStart int           // offset in list at which the number of d begins
	waitEnd   int           // offset in list at which the number of d ends
	seen      uint          // bit set of the arguments that occurred
}

// newArguments returns the arguments of a list that is not parsed yet: all numbers and indices are unset. readOnly says
// whether the request is one of CALL.GET.
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

// parse parses the list. It fails if an argument that the gateway uses occurs twice, or if a required one is missing or
// invalid.
func (a *arguments) parse(catalog *Catalog) error {
	members := catalog.memberCount()
	for start := 0; start < len(a.list); {
		length := bytes.IndexByte(a.list[start:], ',')
		if length < 0 {
			length = len(a.list) - start
		}
		name, value, _ := bytes.Cut(a.list[start:start+length], []byte{'='})
		if arg := argumentNamed(name); arg != argumentUnknown {
			if a.seen&(1<<arg) > 0 { // the host might use the other value
				return fmt.Errorf("%s: given twice", name)
			}
			a.seen |= 1 << arg
			a.set(catalog, members, arg, value, start)
		}
		start += length + 1
	}
	return a.checkComplete()
}

// set parses the value of an argument whose name starts at offset in the list. members is the number of gateways of the
// fleet. An invalid value leaves the argument unset.
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

// setWait parses the value of d, a whole number of milliseconds that starts at offset in the list.
func (a *arguments) setWait(value []byte, offset int) {
	milliseconds, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || milliseconds == 0 {
		return
	}
	a.wait = time.Duration(milliseconds) * time.Millisecond
	a.waitStart = offset
	a.waitEnd = offset + len(value)
}

// checkComplete returns an error for the first required argument that is unset, nil if all are set.
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

// missingArgument returns the error for a required argument that is unset.
func missingArgument(name string) error {
	return fmt.Errorf("%s: missing, or its value is none that is known", name)
}

// parseIndex parses a whole number from least to most, and returns unset for any other text.
func parseIndex(text []byte, least, most int) int {
	number, err := strconv.ParseUint(string(text), 10, 31)
	if err != nil || int(number) < least || int(number) > most {
		return unset
	}
	return int(number)
}
