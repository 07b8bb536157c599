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
	maxQueryBytes    = 4 << 10
	queryBufferBytes = 512
	maxQueries       = 8 // connections at a time; more are closed at once
	maxWindows       = 1 << 20
	queryTimeout     = 10 * time.Second
)

// Query is a query to a collector.
type Query struct {
	RequestClass string  `json:"frontend"` // empty: all of them
	Host         string  `json:"host"`     // a single host instead of all rules
	Rule         string  `json:"rule"`     // with Fraction: a rule in force
	Fraction     float64 `json:"part"`     // of all attempts, for which Rule chooses
	LastWindows  int     `json:"last"`     // number of latest sealed windows; 0: all that are kept
	Hosts        bool    `json:"hosts"`    // also each host that was seen
	Counts       bool    `json:"counts"`   // counts of messages instead of figures
}

// CollectorState is the answer to a query of counts.
type CollectorState struct {
	counterfactual.MessageCounts
	Bin    counterfactual.BinNumber // the current one
	Sealed counterfactual.BinNumber // the latest one that no longer changes
}

// pendingQuery is a query that waits for the loop.
type pendingQuery struct {
	query   Query
	answers chan []any // one element for each line
}

// decodeQuery decodes and checks a query; an error names its key.
func decodeQuery(line []byte) (query Query, err error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		return query, err
	}
	if query.LastWindows < 0 || query.LastWindows > maxWindows {
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
	slots := make(chan struct{}, maxQueries)
	for {
		conn, err := o.tcp.Accept()
		if err != nil { // closed
			return
		}
		select {
		case slots <- struct{}{}:
			o.start(func() {
				defer func() { <-slots }()
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
	o.start(func() { o.closeAtEnd(conn, served) })
	conn.SetDeadline(time.Now().Add(queryTimeout))
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, queryBufferBytes), maxQueryBytes)
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

// closeAtEnd closes a connection if the observer ends before the query is served, so that Close does not wait for a
// client.
func (o *Observer) closeAtEnd(conn net.Conn, served <-chan struct{}) {
	select {
	case <-o.done:
		conn.Close()
	case <-served:
	}
}

// ask passes a query to the loop and waits for its answers. It returns false if the observer ends or is too busy.
func (o *Observer) ask(query Query) (answers []any, ok bool) {
	pending := pendingQuery{query: query, answers: make(chan []any, 1)}
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

// errorAnswer returns the answer to an invalid query.
func errorAnswer(format string, values ...any) map[string]string {
	return map[string]string{"error": fmt.Sprintf(format, values...)}
}

// answer returns the answers to a query, one for each line.
func (o *Observer) answer(query *Query) (answers []any) {
	now := o.now()
	if query.Counts {
		state := CollectorState{MessageCounts: o.ledger.Counts, Bin: o.ledger.BinAt(now), Sealed: o.ledger.LastSealedBin(now)}
		return []any{state}
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
	from := o.ledger.FirstBin()
	to := o.ledger.LastSealedBin(now)
	if query.LastWindows > 0 {
		from = max(from, to-counterfactual.BinNumber(query.LastWindows)+1)
	}
	for _, class := range classes {
		ofClass, err := o.answerClass(query, class, from, to)
		if err != nil {
			return []any{errorAnswer("%v", err)}
		}
		answers = append(answers, ofClass...)
	}
	return answers
}

// answerClass returns the answers to a query for one request class over a range of bins.
func (o *Observer) answerClass(query *Query, class int, from, to counterfactual.BinNumber) (answers []any, err error) {
	switch {
	case query.Rule != "":
		rule, ok := counterfactual.ParseRule(query.Rule)
		if !ok {
			return nil, fmt.Errorf("rule: there is no %q", query.Rule)
		}
		answers = append(answers, o.ledger.EstimateReplacement(class, rule, query.Fraction, from, to))
	case query.Host != "":
		host, ok := o.hostNumber(query.Host)
		if !ok {
			return nil, fmt.Errorf("host: there is no %q", query.Host)
		}
		answers = append(answers, o.ledger.EstimateSingleHost(class, host, from, to))
	default:
		for _, answer := range o.ledger.EstimateRules(class, from, to) {
			answers = append(answers, answer)
		}
	}
	if query.Hosts {
		for _, host := range o.ledger.Hosts(class, from, to) {
			answers = append(answers, o.ledger.EstimateSingleHost(class, host, from, to))
		}
	}
	return answers, nil
}
