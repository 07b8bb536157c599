package relay

import (
	"errors"
	"io"
	"net"
	"time"

	"ravensill/lab/actor"
)

const (
	chunkBytes     = 32 << 10 // most bytes of one read
	chunkQueueSize = 64       // chunks of one direction that may wait for the link
)

// streamConn is one connection of a stream. Its fields belong to the relay's actor, except that the goroutines of its
// two directions use the sockets and the channel.
type streamConn struct {
	stream          *Stream
	client          net.Conn      // from the connecting node
	server          net.Conn      // to the target; nil: not connected yet
	ended           chan struct{} // closed when the connection has ended
	endedDirections int           // number of directions, 0 to 2, that have ended
}

// reset ends the connection with a TCP reset on both sides.
func (c *streamConn) reset() {
	if !c.stream.conns[c] {
		return
	}
	delete(c.stream.conns, c)
	close(c.ended)
	for _, conn := range []net.Conn{c.client, c.server} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// endDirection records the end of one direction and closes the connection after the second one.
func (c *streamConn) endDirection() {
	c.endedDirections++
	if c.endedDirections < 2 || !c.stream.conns[c] {
		return
	}
	delete(c.stream.conns, c)
	close(c.ended)
	c.client.Close()
	c.server.Close()
}

// waitToConnect waits until the forward link is not blocked, and then for its delay. It returns false if the connection
// has ended.
func (c *streamConn) waitToConnect() bool {
	delay, ok := c.waitToPass(c.stream.forward)
	return ok && c.sleep(delay)
}

// waitToPass waits until a link is not blocked and returns its delay. ok is false if the connection or the relay has
// ended.
func (c *streamConn) waitToPass(link link) (delay time.Duration, ok bool) {
	relay := c.stream.relay
	request := passRequest{link, make(chan time.Duration, 1)}
	relay.Do(func() { relay.pass(request) })
	select {
	case delay := <-request.delay:
		return delay, true
	case <-c.ended:
	case <-relay.Stopped():
	}
	return 0, false
}

// sleep waits for a duration. It returns false if the connection has ended.
func (c *streamConn) sleep(duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	select {
	case <-time.After(duration):
		return true
	case <-c.ended:
		return false
	}
}

// chunk holds the bytes of one read.
type chunk struct {
	arrivedAt int64 // ns of actor.Now
	body      []byte
}

// copyDirection copies one direction with the delay of its link. Chunks stay in order, and the end of the stream waits
// for the link like a chunk.
func (c *streamConn) copyDirection(source, destination net.Conn, link link) {
	chunks := make(chan chunk, chunkQueueSize)
	c.stream.goroutines.Go(func() { c.readChunks(source, chunks) })
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
	c.stream.relay.Do(c.endDirection)
}

// readChunks reads chunks until the end of the stream or of the connection.
func (c *streamConn) readChunks(source net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			select {
			case chunks <- chunk{actor.Now(), buffer[:n]}:
			case <-c.ended:
				return
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) { // a reset is forwarded to the other side
			c.stream.relay.Do(c.reset)
		}
		return
	}
}
