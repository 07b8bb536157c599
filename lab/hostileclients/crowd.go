// Package hostileclients emulates clients that misuse a gateway: they write slowly, stop in the middle of a command,
// send what can't be parsed, send at full speed, read nothing, or leave. All draws depend only on a seed.
package hostileclients

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"ravensill/lab/actor"
)

// IDPrefix begins the ids of all requests that hostile clients send.
const IDPrefix = "hostile-"

// Crowd describes clients of one behavior that are connected to one gateway at the same time. A client whose connection
// ends connects again.
type Crowd struct {
	Addr     string // of the gateway
	Clients  int    // number of clients
	Behavior Behavior
	Seed     uint64
}

// Counts says what happened to the connections of a crowd.
type Counts struct {
	Connected  int // connections that were established
	Refused    int // connections that could not be established
	Errors     int // connections whose first answer was an error line
	Closed     int // connections that the gateway ended without an answer
	Values     int // connections whose first answer was no error and no rejection
	Rejections int // connections whose first answer was a rejection
	// LongestWithoutEnd is the longest time from a connect to the first answer or the end of the connection.
	LongestWithoutEnd time.Duration
	// LeftAt is when clients closed their connections by themselves, in nanoseconds of actor.Now, by ConnectionKey.
	LeftAt map[string]int64
}

// Run is a crowd that is connected.
type Run struct {
	crowd      Crowd
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex // guards the following field
	counts Counts
}

// reconnectDelay is the pause of a client whose connection could not be established.
const reconnectDelay = 20 * time.Millisecond

// Start connects all clients of the crowd.
func (c Crowd) Start() *Run {
	ctx, cancel := context.WithCancel(context.Background())
	run := &Run{crowd: c, cancel: cancel, counts: Counts{LeftAt: map[string]int64{}}}
	for i := range c.Clients {
		random := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		run.goroutines.Go(func() { run.repeat(ctx, i, random) })
	}
	return run
}

// Stop disconnects all clients and returns what happened to their connections.
func (r *Run) Stop() Counts {
	r.cancel()
	r.goroutines.Wait()
	return r.counts
}

// record changes the counts.
func (r *Run) record(change func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.counts)
}

// repeat connects one client again and again until ctx ends.
func (r *Run) repeat(ctx context.Context, number int, random *rand.Rand) {
	for connection := 0; ctx.Err() == nil; connection++ {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp4", r.crowd.Addr)
		if err != nil {
			if ctx.Err() == nil {
				r.record(func(c *Counts) { c.Refused++ })
			}
			sleep(ctx, reconnectDelay)
			continue
		}
		r.record(func(c *Counts) { c.Connected++ })
		r.serve(ctx, &client{
			conn:       conn,
			number:     number,
			connection: connection,
			random:     random,
			crowdSeed:  r.crowd.Seed,
		})
	}
}

// serve runs the behavior on one connection until it ends.
func (r *Run) serve(ctx context.Context, c *client) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	var reader sync.WaitGroup
	if !r.crowd.Behavior.readsNothing {
		connectedAt := time.Now()
		reader.Go(func() {
			r.readAnswers(ctx, c.conn, connectedAt)
			cancel()
		})
	}
	r.crowd.Behavior.write(ctx, c)
	if r.crowd.Behavior.leaves {
		c.conn.Close()
		r.record(func(counts *Counts) { counts.LeftAt[c.key()] = actor.Now() })
		cancel()
	}
	<-ctx.Done()
	reader.Wait()
	stop()
	cancel()
	c.conn.Close()
}

// readAnswers reads until the connection ends and records its first answer.
func (r *Run) readAnswers(ctx context.Context, conn net.Conn, connectedAt time.Time) {
	buffer := make([]byte, 4096)
	n, err := conn.Read(buffer)
	if ctx.Err() != nil {
		return
	}
	waited := time.Since(connectedAt)
	r.record(func(c *Counts) {
		c.LongestWithoutEnd = max(c.LongestWithoutEnd, waited)
		c.addFirstAnswer(buffer[:n], err)
	})
	for err == nil {
		_, err = conn.Read(buffer)
	}
}

// addFirstAnswer counts a connection by its first answer.
func (c *Counts) addFirstAnswer(answer []byte, err error) {
	switch {
	case len(answer) == 0 || err != nil && !errors.Is(err, io.EOF):
		c.Closed++
	case answer[0] != '-':
		c.Values++
	case len(answer) > 1 && answer[1] == 'B':
		c.Rejections++
	default:
		c.Errors++
	}
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
