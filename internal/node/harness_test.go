package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/config"
	"ravensill/internal/logging"
)

const (
	connectionLimit = 20 * time.Second // of a test's connections; no test passes by waiting

	// farDeadline is later than any test runs.
	farDeadline = 1000 * time.Second
)

// testSettings are settings of one gateway with one request class and one plan.
func testSettings() *config.Settings {
	return &config.Settings{
		Membership:     gateway.Membership{Count: 1},
		Classes:        []gateway.RequestClass{{}},
		ClassNames:     []string{"lookup"},
		Plans:          []gateway.Plan{{}},
		PlanNames:      []string{"team"},
		ConnectTimeout: time.Second,
	}
}

// testConfig is a configuration with these settings, a free port and no agent.
func testConfig(settings *config.Settings) *config.Config {
	return &config.Config{
		Listen:           netip.MustParseAddrPort("127.0.0.1:0"),
		DiscoveryAddress: "127.0.0.1:1",
		MaxDescriptors:   100,
		Settings:         settings,
	}
}

// knownHost is a list of the one endpoint s.
func knownHost(addr string) string {
	return fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s","addr":"%s","state":"active","weight":1}]}`, addr)
}

// silentHost listens at an address and answers nothing.
func silentHost(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// idleNode is a node whose loop the test runs step by step, with one host.
type idleNode struct {
	*Node
}

func newIdleNode(module Decider, class gateway.RequestClass, host netip.AddrPort) idleNode {
	settings := testSettings()
	settings.Classes[0] = class
	n := New(testConfig(settings), module)
	n.transport.SetAddress(1, host)
	return idleNode{n}
}

// request has a request arrive and returns its answer.
func (n idleNode) request(id string) *clients.Answer {
	answer := new(clients.AnswerQueue).Add()
	n.arrive(answer, &clients.Request{
		ID:       id,
		Customer: "c",
		Deadline: n.now().Add(farDeadline),
		Units:    1,
		Spread:   1,
	})
	return answer
}

// processUntilWritten runs the loop until an attempt of a request is written.
func (n idleNode) processUntilWritten(id string, attempt int) {
	for ; !n.requests[id].attempts[attempt].send.Written(); n.process() {
		(<-n.work)()
	}
}

// left returns a line on what is left open.
func (n *Node) left() string {
	return fmt.Sprintf("%d requests and %d attempts are left\n", len(n.requests), len(n.inFlight))
}

// retryingDecider sends each request, and again after each end while it is open. It writes down its events.
type retryingDecider struct{ strings.Builder }

func (*retryingDecider) Reconfigure(gateway.Time, *gateway.SettingsUpdate) {}

func (d *retryingDecider) Decide(batch *gateway.Batch, actions gateway.Actions) {
	for _, event := range batch.Events {
		switch event.Kind {
		case gateway.RequestArrived:
			fmt.Fprintf(d, "%s arrived\n", event.RequestID)
			actions.StartAttempt(event.RequestID, 1, 0)
		case gateway.AttemptEnded:
			fmt.Fprintf(d, "%s attempt %d ended: result %d, closed %t\n", event.RequestID, event.Attempt, event.Result,
				event.Closed)
			if !event.Closed {
				actions.StartAttempt(event.RequestID, 1, 0)
			}
		case gateway.ClientGone:
			fmt.Fprintf(d, "%s left\n", event.RequestID)
			actions.CancelAttempt(event.RequestID, 1)
		}
	}
}

// runningNode is a node that runs on an address of its own.
type runningNode struct {
	addr  string
	stop  func()
	ended func() (events []string) // waits for the end and returns the log's events that were asked for
}

// serve runs a gateway with a module. configure, if not nil, changes it before. ended returns those of the
// events that the log had, in order; an event may be followed by its first fields.
func serve(t *testing.T, module Decider, configure func(*Node), events ...string) runningNode {
	logReader, logWriter := io.Pipe()
	t.Cleanup(logging.SetOutput(logWriter))
	n := New(testConfig(testSettings()), module)
	if configure != nil {
		configure(n)
	}
	stop := make(chan struct{})
	result := make(chan error, 1)
	go func() { result <- n.Run(stop) }()
	lines := bufio.NewScanner(logReader)
	addr := listenAddress(lines)
	logged := make(chan []string, 1)
	go func() { logged <- collectEvents(lines, events) }()
	return runningNode{
		addr: addr,
		stop: func() { close(stop) },
		ended: func() []string {
			if err := <-result; err != nil {
				t.Error(err)
			}
			logWriter.Close()
			return <-logged
		},
	}
}

// listenAddress returns the first address that the log names, on which the gateway serves.
func listenAddress(lines *bufio.Scanner) string {
	for lines.Scan() {
		if _, rest, found := strings.Cut(lines.Text(), "listen="); found {
			addr, _, _ := strings.Cut(rest, " ")
			return addr
		}
	}
	return ""
}

// collectEvents reads a log to its end and returns those of the events that it has.
func collectEvents(lines *bufio.Scanner, events []string) (logged []string) {
	for lines.Scan() {
		for _, event := range events {
			if strings.Contains(lines.Text(), "event="+event) {
				logged = append(logged, event)
			}
		}
	}
	return logged
}

func dial(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(connectionLimit))
	return conn
}

// respArray returns words as a RESP array of bulk strings.
func respArray(words ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return text
}

// command returns a request of a customer, which is one hexadecimal digit.
func command(customer string, id int) string {
	return respArray("CALL.GET", "000000000000000"+customer, fmt.Sprint(id),
		"c=lookup,t=team,d=999,units=1,spread=1,first=0")
}

// roundTrip sends a request of a customer, or PING without one, and returns the answer.
func roundTrip(t *testing.T, conn net.Conn, customer string, id int) string {
	text := respArray("PING")
	if customer != "" {
		text = command(customer, id)
	}
	io.WriteString(conn, text)
	answer := make([]byte, 99)
	n, err := conn.Read(answer)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer[:n])
}
