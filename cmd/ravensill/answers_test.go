package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// blockedCustomers is the number of customers to whom a largeValueHost does not answer before its release.
const blockedCustomers = 8

// largeValueHost answers with values of the largest size, to customers below blockedCustomers once release is closed.
type largeValueHost struct {
	*testHost
	value   string
	release chan struct{}
}

func newLargeValueHost(t *testing.T) *largeValueHost {
	host := &largeValueHost{value: strings.Repeat("v", 64<<10), release: make(chan struct{})}
	reply := successReply(host.value)
	firstServed := fmt.Sprintf("%016x", blockedCustomers)
	host.testHost = newHost(t, func(command []string) string {
		if command[1] < firstServed {
			<-host.release
		}
		return reply
	})
	return host
}

// receivedCount returns the number of commands that the host has received since the last takeReceived.
func (h *testHost) receivedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.received)
}

// answerKind returns "value", "rejected", "dropped", or any other answer itself, shortened.
func (h *largeValueHost) answerKind(answer string) string {
	switch {
	case answer == h.value:
		return "value"
	case strings.HasPrefix(answer, "-BUSY"):
		return "rejected"
	case strings.HasPrefix(answer, "-ERR answer dropped"):
		return "dropped"
	}
	return fmt.Sprintf("%.60q", answer)
}

// waitUntil waits for a condition that has no event of its own. what names the condition in the failure message.
func (g *gatewayProcess) waitUntil(what string, condition func() bool) {
	g.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			g.Fatalf("timed out waiting until %s", what)
		}
	}
}

// TestAnswersBehindUnansweredRequestArriveWhole guards against a lost connection of a client that reads: while one of
// its pipelined requests is unanswered, the answers behind it exceed the connection's output buffer many times.
func TestAnswersBehindUnansweredRequestArriveWhole(t *testing.T) {
	const requests = 60
	for _, shutdown := range []bool{false, true} {
		t.Run(fmt.Sprintf("shutdown %t", shutdown), func(t *testing.T) {
			host := newLargeValueHost(t)
			gateway := startGateway(t, configureAmpleBurst, host.testHost)
			client := gateway.connect()
			client.send(requestCommand("lookup", 0))
			for sent := 1; sent < requests; sent++ {
				client.send(requestCommand("lookup", blockedCustomers+sent))
				gateway.waitUntil("the request is sent", func() bool { return host.receivedCount() == sent+1 })
			}
			if shutdown {
				gateway.sendAllSignals()
			}
			close(host.release)
			for i := range requests {
				if kind := host.answerKind(client.readAnswer()); kind != "value" {
					t.Fatalf("answer %d of %d is %s", i, requests, kind)
				}
			}
			if shutdown {
				client.Close()
				if status := gateway.exitStatus(); status != "exit 0" {
					t.Error(status)
				}
			}
		})
	}
}

// waitingAnswers is a play in which clients have more answers to read than the gateway's memory holds.
type waitingAnswers struct {
	*gatewayProcess
	host            *largeValueHost
	clients         []*testClient
	clientCount     int  // blockedCustomers at most if firstUnanswered
	requests        int  // on each connection
	firstUnanswered bool // whether the first request on each connection is not answered
	memoryMB        int
}

// patientCommand returns a request that waits for 9 s.
func patientCommand(customer int) string {
	return strings.Replace(requestCommand("lookup", customer), "d=3000", "d=9000", 1)
}

func (w *waitingAnswers) start(t *testing.T) {
	w.host = newLargeValueHost(t)
	w.gatewayProcess = startGateway(t, func(config *gatewayConfig) {
		configureAmpleBurst(config)
		config.Resources.MemoryMB = w.memoryMB
		config.Settings.Classes[0].TimeoutUS = 10000000
	}, w.host.testHost)
}

// send sends all requests and reads none of the answers. After each request, another client sends one and reads its
// value, so that few attempts are in flight at a time.
func (w *waitingAnswers) send() {
	reading := w.connect()
	for i := range w.clientCount {
		client := w.connect()
		client.Conn.(*net.TCPConn).SetReadBuffer(256 << 10) // the kernel holds few answers
		w.clients = append(w.clients, client)
		for k := range w.requests {
			customer := blockedCustomers + i
			if k == 0 && w.firstUnanswered {
				customer = i
			}
			client.send(patientCommand(customer))
			w.readOneValue(reading)
		}
	}
}

// readOneValue sends a request and reads the value. The request is sent again if it is rejected, as at the start, when
// few attempts may be in flight.
func (w *waitingAnswers) readOneValue(client *testClient) {
	kind := "rejected"
	for kind == "rejected" {
		kind = w.host.answerKind(client.roundTrip(patientCommand(blockedCustomers + w.clientCount)))
	}
	if kind != "value" {
		w.Fatalf("a client that reads its answers gets %s", kind)
	}
}

// readAll reads the answers to all requests and returns how many there are of each kind.
func (w *waitingAnswers) readAll() map[string]int {
	kinds := map[string]int{}
	for _, client := range w.clients {
		for range w.requests {
			kinds[w.host.answerKind(client.readAnswer())]++
		}
	}
	return kinds
}

// checkMemory fails the test if the gateway has ever used more resident memory than it may.
func (w *waitingAnswers) checkMemory() {
	status, err := w.proc().NewStatus()
	if err != nil {
		w.Fatal(err)
	}
	w.Logf("the gateway used %d MiB of %d MiB", status.VmHWM>>20, w.memoryMB)
	if status.VmHWM > uint64(w.memoryMB)<<20 {
		w.Errorf("the gateway used %d bytes, over its limit of %d MiB", status.VmHWM, w.memoryMB)
	}
}

// run sends all requests, reads all answers and checks them. It returns a description of a delay for retryWhenSlow.
func (w *waitingAnswers) run(t *testing.T) (slow string) {
	const maxSendTime = 7 * time.Second // the gateway disconnects a client that reads nothing for 10 s
	w.start(t)
	began := time.Now()
	w.send()
	if d := time.Since(began); d > maxSendTime {
		return fmt.Sprintf("the requests were sent in %v", d)
	}
	w.checkMemory()
	close(w.host.release)
	kinds := w.readAll()
	w.checkMemory()
	t.Logf("answers: %v", kinds)
	sum := kinds["value"] + kinds["rejected"] + kinds["dropped"]
	if want := w.clientCount * w.requests; sum != want {
		t.Errorf("%d of %d requests have a whole answer", sum, want)
	}
	return ""
}

// TestWaitingAnswersKeepMemoryLimit guards against a gateway that is killed for its memory: more bytes of answers than
// its limit would wait, behind unanswered requests or because their clients don't read. Each request is answered all
// the same, and a client that reads is served meanwhile.
func TestWaitingAnswersKeepMemoryLimit(t *testing.T) {
	plays := map[string]waitingAnswers{
		"behind unanswered requests":  {memoryMB: 64, clientCount: 8, requests: 160, firstUnanswered: true},
		"to clients that do not read": {memoryMB: 64, clientCount: 20, requests: 110},
	}
	for name, play := range plays {
		t.Run(name, func(t *testing.T) {
			retryWhenSlow(t, func() string {
				attempt := play
				return attempt.run(t)
			})
		})
	}
}

// flood sends requests as fast as the gateway takes them, and reads no answer, until the connection ends.
func (c *testClient) flood(customer int) {
	for n, err := 0, error(nil); err == nil; n++ {
		id := fmt.Sprintf("flood%d-%d", customer, n)
		arguments := "c=lookup,t=team,d=3000,units=1,spread=1,first=0"
		_, err = c.Conn.Write([]byte(respArray("CALL.GET", fmt.Sprintf("%016x", customer), id, arguments)))
	}
}

// TestFloodDelaysNoOtherClientForever guards against an event loop that handles nothing but the commands of clients
// that send them faster than they are rejected: no other client got an answer for as long as the flood lasted.
func TestFloodDelaysNoOtherClientForever(t *testing.T) {
	const floodingClients = 60
	host := newLargeValueHost(t)
	gateway := startGateway(t, configureAmpleBurst, host.testHost)
	other := gateway.connect()
	for i := range floodingClients {
		go gateway.connect().flood(blockedCustomers + i)
	}
	gateway.waitUntil("the flood is served", func() bool { return host.receivedCount() > floodingClients })
	for range 5 {
		if a := other.roundTrip(respArray("PING")); a != "+PONG" {
			t.Fatalf("another client reads %s", a)
		}
	}
}
