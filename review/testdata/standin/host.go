package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is a stand-in of one host. It answers the commands of a connection in their order, each with a value that was
// made for its request.
type host struct {
	hostOptions
	id       string
	listener net.Listener
	log      *record
	hangs    atomic.Bool // takes commands and answers none

	mu   sync.Mutex
	runs map[string][]time.Time // when the commands of each request began, by its id
}

// hostOptions are what a case chooses of its hosts.
type hostOptions struct {
	valueSize  int                           // bytes of a value
	work       func(id string) time.Duration // time from the end of a command to its answer
	linkDelay  time.Duration                 // time on the way between gateway and host, in each direction
	secondCopy func(id string) time.Duration // time from an answer to a second copy of it, 0: none; may be nil
	onOpen     func(change int)              // called with 1 for each new connection and with -1 at its end; may be nil
}

func newHost(id string, log *record, options hostOptions) (*host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{hostOptions: options, id: id, listener: listener, log: log, runs: map[string][]time.Time{}}
	go h.accept()
	return h, nil
}

func (h *host) address() string { return h.listener.Addr().String() }

func (h *host) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		go h.serve(conn)
	}
}

// pendingAnswer is an answer that is written once its work is done.
type pendingAnswer struct {
	id   string
	text []byte
	at   time.Time
}

// serve reads the commands of one connection. A second goroutine writes the answers.
func (h *host) serve(conn net.Conn) {
	defer conn.Close()
	if h.onOpen != nil {
		h.onOpen(1)
		defer h.onOpen(-1)
	}
	answers := make(chan pendingAnswer, 1024)
	defer close(answers)
	var waiting atomic.Int64 // commands that have come and are not answered
	go h.writeAnswers(conn, answers, &waiting)
	reader := bufio.NewReaderSize(conn, 1<<17)
	for {
		words, err := readCommand(reader)
		if err != nil {
			return
		}
		arrived := time.Now().Add(h.linkDelay)
		time.Sleep(h.linkDelay)
		waiting.Add(1)
		answers <- h.answerTo(words, arrived)
	}
}

// answerTo begins a command.
func (h *host) answerTo(words []string, arrived time.Time) pendingAnswer {
	switch {
	case words[0] == "PING":
		return pendingAnswer{text: []byte("+PONG\r\n"), at: arrived}
	case words[0] == "INFO":
		return pendingAnswer{text: []byte("-NOPERM\r\n"), at: arrived}
	case !strings.HasPrefix(words[0], "CALL.") || len(words) < 4:
		return pendingAnswer{text: []byte("-ERR unknown\r\n"), at: arrived}
	}
	id := words[2]
	h.mu.Lock()
	h.runs[id] = append(h.runs[id], arrived)
	h.mu.Unlock()
	h.log.printf("host %s begins %s d=%s hangs=%v", h.id, id, argument(words[3], "d"), h.hangs.Load())
	if h.hangs.Load() {
		return pendingAnswer{id: id, at: arrived}
	}
	value := valueFor(id, h.valueSize)
	text := []byte("*3\r\n$" + decimal(len(value)) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n")
	return pendingAnswer{id: id, text: text, at: arrived.Add(h.work(id))}
}

// writeAnswers writes the answers of one connection in the order of the commands. One without a text is never written,
// and so none after it.
func (h *host) writeAnswers(conn net.Conn, answers <-chan pendingAnswer, waiting *atomic.Int64) {
	for answer := range answers {
		time.Sleep(time.Until(answer.at))
		if answer.text == nil {
			for range answers { // the gateway gives up by closing the connection
			}
			return
		}
		waiting.Add(-1)
		time.Sleep(h.linkDelay)
		conn.Write(answer.text)
		if answer.id != "" {
			h.log.printf("host %s answers %s", h.id, answer.id)
			h.copyAnswer(conn, answer, waiting)
		}
	}
}

// copyAnswer writes a second copy of an answer that was just written, if there is to be one. The host sends it only
// while no other command has come on the connection.
func (h *host) copyAnswer(conn net.Conn, answer pendingAnswer, waiting *atomic.Int64) {
	if h.secondCopy == nil || h.secondCopy(answer.id) == 0 {
		return
	}
	time.Sleep(h.secondCopy(answer.id) - h.linkDelay) // the answer left the host linkDelay ago
	if waiting.Load() > 0 {
		h.log.printf("host %s keeps the second copy of %s back, since a command waits", h.id, answer.id)
		return
	}
	time.Sleep(h.linkDelay)
	conn.Write(answer.text)
	h.log.printf("host %s answers %s a second time", h.id, answer.id)
}

// runsOf returns when the commands of a request began.
func (h *host) runsOf(id string) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.runs[id]...)
}

// valueFor returns the value that any host makes for a request: its id, filled up to a size.
func valueFor(id string, size int) string {
	value := "value of " + id + " "
	if len(value) < size {
		value += strings.Repeat("x", size-len(value))
	}
	return value
}
