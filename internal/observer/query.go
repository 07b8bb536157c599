package observer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"ravensill/counterfactual"
)

const (
	maxQuery     = 4 << 10 // bytes of a query
	maxQueries   = 8       // connections at a time; more are closed at once
	maxWindows   = 1 << 20 // windows that a query may ask for
	queryTimeout = 10 * time.Second
)

// Query is a question to a collector.
type Query struct {
	RequestClass string  `json:"frontend"` // request class; "": each
	Host         string  `json:"host"`     // a single host instead of all rules
	Rule         string  `json:"rule"`     // with Part: a rule in force
	Fraction     float64 `json:"part"`     // for this fraction of all attempts
	Last         int     `json:"last"`     // number of sealed windows; 0: all that are kept
	Hosts        bool    `json:"hosts"`    // also each host that was seen
	Counts       bool    `json:"counts"`   // counts of messages instead of figures
}

// CollectorState is the state of a collector.
type CollectorState struct {
	counterfactual.Counts
	Bin    int64 // the one under way
	Sealed int64 // the newest one that no longer changes
}

// pendingQuery is a query for the task.
type pendingQuery struct {
	query   Query
	answers chan []any // receives one value for each line
}

// decodeQuery decodes and checks a query; an error names its key.
func decodeQuery(line []byte) (query Query, err error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(&query); err != nil {
		return query, err
	}
	if query.Last < 0 || query.Last > maxWindows {
		return query, errors.New("last: below zero, or too many")
	}
	if !(query.Fraction >= 0 && query.Fraction <= 1) {
		return query, errors.New("part: not from 0 to 1")
	}
	if (query.Rule != "") != (query.Fraction > 0) {
		return query, errors.New("rule, part: both or none wanted")
	}
	return query, nil
}

// acceptQueries accepts connections, each with one query.
func (o *Observer) acceptQueries() {
	places := make(chan struct{}, maxQueries)
	for {
		conn, err := o.tcp.Accept()
		if err != nil { // closed
			return
		}
		select {
		case places <- struct{}{}:
			o.start(func() {
				defer func() { <-places }()
				o.serveQuery(conn)
			})
		default:
			conn.Close()
		}
	}
}

// serveQuery reads one query, a JSON object in a line, and writes the answers, one a line.
func (o *Observer) serveQuery(conn net.Conn) {
	defer conn.Close()
	served := make(chan struct{})
	defer close(served)
	go func() { // the end of the program does not wait for a client
		select {
		case <-o.done:
			conn.Close()
		case <-served:
		}
	}()
	conn.SetDeadline(time.Now().Add(queryTimeout))
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, 512), maxQuery)
	if !lines.Scan() {
		return
	}
	encoder := json.NewEncoder(conn)
	query, err := decodeQuery(lines.Bytes())
	if err != nil {
		encoder.Encode(errorAnswer("%v", err))
		return
	}
	answers, ok := o.ask(query)
	if !ok {
		return
	}
	conn.SetDeadline(time.Now().Add(queryTimeout))
	for _, answer := range answers {
		if encoder.Encode(answer) != nil {
			return
		}
	}
}

// ask passes a query to the task and waits for its answers.
func (o *Observer) ask(query Query) (answers []any, ok bool) {
	pending := pendingQuery{query, make(chan []any, 1)}
	select {
	case o.queries <- pending:
	case <-o.done:
		return nil, false
	case <-time.After(queryTimeout):
		return nil, false
	}
	select {
	case answers = <-pending.answers:
		return answers, true
	case <-o.done:
		return nil, false
	}
}

// errorAnswer is the answer to a query that is not understood.
func errorAnswer(format string, values ...any) map[string]string {
	return map[string]string{"error": fmt.Sprintf(format, values...)}
}

// answer answers a query with one value for each line.
func (o *Observer) answer(query *Query) (answers []any) {
	now := o.now()
	if query.Counts {
		window := int64(o.config.Window)
		return []any{CollectorState{o.ledger.Counts, now / window, o.ledger.Sealed(now)}}
	}
	var classes []int
	for i, name := range o.classes {
		if query.RequestClass == "" || query.RequestClass == name {
			classes = append(classes, i)
		}
	}
	if classes == nil {
		return []any{errorAnswer("frontend: there is no %q", query.RequestClass)}
	}
	from, to := o.ledger.First(), o.ledger.Sealed(now)
	if query.Last > 0 {
		from = max(from, to-int64(query.Last)+1)
	}
	for _, class := range classes {
		more, err := o.answerClass(query, class, from, to)
		if err != nil {
			return []any{errorAnswer("%v", err)}
		}
		answers = append(answers, more...)
	}
	return answers
}

// answerClass answers a query for one request class over a range of bins.
func (o *Observer) answerClass(query *Query, class int, from, to int64) (answers []any, err error) {
	switch {
	case query.Rule != "":
		rule, ok := counterfactual.ParseRule(query.Rule)
		if !ok {
			return nil, fmt.Errorf("rule: there is no %q", query.Rule)
		}
		answers = append(answers, o.ledger.Replaced(class, rule, query.Fraction, from, to))
	case query.Host != "":
		host, ok := o.hostNumber(query.Host)
		if !ok {
			return nil, fmt.Errorf("host: there is no %q", query.Host)
		}
		answers = append(answers, o.ledger.SingleHost(class, host, from, to))
	default:
		for _, answer := range o.ledger.Panel(class, from, to) {
			answers = append(answers, answer)
		}
	}
	if query.Hosts {
		for _, host := range o.ledger.Hosts(class, from, to) {
			answers = append(answers, o.ledger.SingleHost(class, host, from, to))
		}
	}
	return answers, nil
}
