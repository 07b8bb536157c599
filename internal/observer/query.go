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
	maxQueryBytes    = 4 << 10          // longer queries are not answered
	queryBufferBytes = 512              // initial size of a connection's buffer
	maxQueryConns    = 8                // connections at a time; further ones are closed at once
	maxQueryWindows  = 1 << 20          // limit of Query.LastWindows
	queryTimeout     = 10 * time.Second // for each of three steps: read a query, wait for the loop, write the answers
)

// Query is a query to a collector, encoded as a JSON object. By default, the answers estimate all rules for a request
// class.
type Query struct {
	RequestClass string  `json:"frontend"` // name of the request class; empty: each of them
	Host         string  `json:"host"`     // id of a host to estimate instead of the rules; empty: none
	Rule         string  `json:"rule"`     // with Fraction: estimate that this rule replaces the gateways' own
	Fraction     float64 `json:"part"`     // fraction of all attempts for which Rule chooses; 0 without Rule
	LastWindows  int     `json:"last"`     // only the latest sealed bins, this many; 0: all that are kept
	Hosts        bool    `json:"hosts"`    // also estimate each host to which attempts could have gone
	Counts       bool    `json:"counts"`   // return a CollectorState instead of estimates
}

// CollectorState is the answer to a query with Counts.
type CollectorState struct {
	counterfactual.MessageCounts
	Bin    counterfactual.BinNumber // the current bin
	Sealed counterfactual.BinNumber // the latest bin that no longer changes
}

// pendingQuery is a query that waits for loop.
type pendingQuery struct {
	query   Query
	answers chan []any // gets one element for each line of the answer; has a buffer of 1, so that loop never blocks
}

// decodeQuery decodes and checks a query. An error about a value begins with its key.
func decodeQuery(line []byte) (query Query, err error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		return query, err
	}
	if query.LastWindows < 0 || query.LastWindows > maxQueryWindows {
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

// acceptQueries accepts connections, and serves each in a goroutine, until the listener is closed.
func (o *Observer) acceptQueries() {
	slots := make(chan struct{}, maxQueryConns)
	for {
		conn, err := o.queryListener.Accept()
		if err != nil { // the listener is closed
			return
		}
		select {
		case slots <- struct{}{}:
			o.startGoroutine(func() {
				defer func() { <-slots }()
				o.serveQuery(conn)
			})
		default:
			conn.Close()
		}
	}
}

// serveQuery reads one query from a connection, a JSON object on one line, and writes the answers, each a JSON object
// on one line. It closes the connection.
func (o *Observer) serveQuery(conn net.Conn) {
	defer conn.Close()
	served := make(chan struct{})
	defer close(served)
	o.startGoroutine(func() { o.closeOnShutdown(conn, served) })
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
	answers, ok := o.submitQuery(query)
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

// closeOnShutdown closes a connection if the observer is closed before the query is served, that is, before served is
// closed. Close need not wait for a client then.
func (o *Observer) closeOnShutdown(conn net.Conn, served <-chan struct{}) {
	select {
	case <-o.done:
		conn.Close()
	case <-served:
	}
}

// submitQuery passes a query to loop and waits for the answers. It returns false if the observer is closed, or if loop
// does not take the query within queryTimeout.
func (o *Observer) submitQuery(query Query) (answers []any, ok bool) {
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

// errorAnswer returns the answer to an invalid query, a JSON object with the key error.
func errorAnswer(format string, values ...any) map[string]string {
	return map[string]string{"error": fmt.Sprintf(format, values...)}
}

// answerQuery returns the answers to a query, one for each line. Only loop may call it.
func (o *Observer) answerQuery(query *Query) (answers []any) {
	now := o.ledgerTime()
	if query.Counts {
		state := CollectorState{
			MessageCounts: o.ledger.Counts,
			Bin:           o.ledger.BinAt(now),
			Sealed:        o.ledger.LastSealedBin(now),
		}
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
		classAnswers, err := o.answerClass(query, class, from, to)
		if err != nil {
			return []any{errorAnswer("%v", err)}
		}
		answers = append(answers, classAnswers...)
	}
	return answers
}

// answerClass returns the answers to a query for one request class, given by its index, over the bins from..to. An
// error begins with the query's key at fault.
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
