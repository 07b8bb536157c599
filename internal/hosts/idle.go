package hosts

import (
	"slices"

	"ravensill/internal/clock"
)

// addIdle adds the connection, which is idle from now on, to the idle connections of its pool and of the transport.
func (c *conn) addIdle(now clock.Instant) {
	c.idleSince = now
	c.pool.idle = append(c.pool.idle, c)
	c.idleElement = c.pool.transport.idle.PushBack(c)
}

// removeIdle removes the connection from the idle connections of its pool and of the transport, if it is idle.
func (c *conn) removeIdle() {
	if c.idleElement == nil {
		return
	}
	c.pool.transport.idle.Remove(c.idleElement)
	c.idleElement = nil
	if i := slices.Index(c.pool.idle, c); i >= 0 {
		c.pool.idle = slices.Delete(c.pool.idle, i, i+1)
	}
}

// reusableConn returns the most recently used connection that has been idle for at least the reuse delay, nil if there
// is none. Some hosts send further bytes some milliseconds after an answer, even a second copy of it, which must not be
// taken for the answer to the next request. Bytes that arrive within the delay are detected before the next command is
// written; bytes that arrive later could not be distinguished from the answer to that command.
func (p *hostPool) reusableConn(now clock.Instant) *conn {
	for _, c := range slices.Backward(p.idle) {
		if now >= c.reusableAt() {
			return c
		}
	}
	return nil
}

// reusableAt returns the time from which an idle connection may be used: the reuse delay after its latest answer, or
// the first-use delay after its dial.
func (c *conn) reusableAt() clock.Instant {
	delay := c.pool.transport.reuseDelay
	if c.answerCount == 0 {
		delay = c.pool.transport.firstUseDelay
	}
	return c.idleSince.Add(delay)
}

// withinReuseDelay returns the number of connections whose latest answer is so recent that they may not be used.
func (t *Transport) withinReuseDelay(now clock.Instant) (count int) {
	for element := t.idle.Back(); element != nil; element = element.Prev() {
		c := element.Value.(*conn)
		if now.Sub(c.idleSince) >= t.reuseDelay {
			break
		}
		if c.answerCount > 0 {
			count++
		}
	}
	return count
}

// closeIdle closes all idle connections to the host.
func (p *hostPool) closeIdle() {
	for len(p.idle) > 0 {
		p.idle[0].close()
	}
}

// ensureCapacity reports whether one more connection may be opened. At the connection limit it makes room by closing
// the connection that has been idle the longest; it returns false if none is idle.
func (t *Transport) ensureCapacity() bool {
	if t.openConns < t.maxConns {
		return true
	}
	return t.closeLongestIdle()
}

// longestIdle returns the connection that has been idle the longest, nil if none is idle.
func (t *Transport) longestIdle() *conn {
	first := t.idle.Front()
	if first == nil {
		return nil
	}
	return first.Value.(*conn)
}

// closeLongestIdle closes the connection that has been idle the longest, and reports whether there was one.
func (t *Transport) closeLongestIdle() bool {
	longest := t.longestIdle()
	if longest == nil {
		return false
	}
	longest.close()
	return true
}

// CloseIdle closes connections that have been idle for longer than the idle timeout, which is shorter than that of the
// hosts: if a host closes a connection just as a request is sent on it, the request may or may not have run. It checks
// only the connections that it closes and one more.
func (t *Transport) CloseIdle() {
	now := t.now()
	for {
		c := t.longestIdle()
		if c == nil || now.Sub(c.idleSince) <= t.idleTimeout {
			return
		}
		c.close()
	}
}
