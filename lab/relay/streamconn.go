package relay

import (
	"errors"
	"io"
	"net"
	"time"

	"ravensill/lab/actor"
)

const (
	chunkBytes = 32 << 10
	chunkQueue = 64 // chunks of one direction that wait to pass
)

// streamConn is one connection of a stream. Its fields belong to the relay's actor.
type streamConn struct {
	stream      *Stream
	caller      net.Conn
	callee      net.Conn      // nil: not connected yet
	over        chan struct{} // closed when the connection has ended
	endedHalves int           // directions that have ended
}

// reset ends the connection with a reset on both sides.
func (c *streamConn) reset() {
	if !c.stream.conns[c] {
		return
	}
	delete(c.stream.conns, c)
	close(c.over)
	for _, conn := range []net.Conn{c.caller, c.callee} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// endHalf records the end of one direction, and closes the connection after the second one.
func (c *streamConn) endHalf() {
	c.endedHalves++
	if c.endedHalves < 2 || !c.stream.conns[c] {
		return
	}
	delete(c.stream.conns, c)
	close(c.over)
	c.caller.Close()
	c.callee.Close()
}

// waitToConnect waits until the link is not blocked and then for its delay. It reports false if the connection has
// ended.
func (c *streamConn) waitToConnect() bool {
	delay, ok := c.waitToPass(c.stream.forward)
	return ok && c.sleep(delay)
}

// waitToPass waits until a link is not blocked and returns its delay. ok is false if the connection has ended.
func (c *streamConn) waitToPass(link link) (delay time.Duration, ok bool) {
	relay := c.stream.relay
	request := passRequest{link, make(chan time.Duration, 1)}
	relay.Do(func() { relay.pass(request) })
	select {
	case delay := <-request.delay:
		return delay, true
	case <-c.over:
	case <-relay.Stopped():
	}
	return 0, false
}

// sleep waits for a duration. It reports false if the connection has ended.
func (c *streamConn) sleep(duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	select {
	case <-time.After(duration):
		return true
	case <-c.over:
		return false
	}
}

// chunk is bytes that arrived at once.
type chunk struct {
	arrivedAt int64 // ns of actor.Now
	body      []byte
}

// copy carries one direction. Chunks keep their order, and the end of the stream passes like a chunk.
func (c *streamConn) copy(source, destination net.Conn, link link) {
	chunks := make(chan chunk, chunkQueue)
	c.stream.goroutines.Go(func() { c.read(source, chunks) })
	for chunk := range chunks {
		delay, ok := c.waitToPass(link)
		if !ok || !c.sleep(time.Duration(chunk.arrivedAt+int64(delay)-actor.Now())) {
			return
		}
		if _, err := destination.Write(chunk.body); err != nil {
			c.stream.relay.Do(c.reset)
			return
		}
	}
	if _, ok := c.waitToPass(link); !ok {
		return
	}
	if tcp, ok := destination.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.stream.relay.Do(c.endHalf)
}

// read reads chunks until the end of the stream.
func (c *streamConn) read(source net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			select {
			case chunks <- chunk{actor.Now(), buffer[:n]}:
			case <-c.over:
				return
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) { // a reset passes on to the other side
			c.stream.relay.Do(c.reset)
		}
		return
	}
}
