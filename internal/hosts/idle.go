package hosts

import (
	"slices"

	"ravensill/internal/clock"
)

// addIdle marks the connection as idle from now on.
func (c *conn) addIdle(now clock.Instant) {
	c.idleSince = now
	c.pool.idle = append(c.pool.idle, c)
	c.idleElement = c.pool.transport.idle.PushBack(c)
}

// removeIdle removes the connection from the idle ones, if it is idle.
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

// reusableConn returns the most recently used connection that has been idle for the reuse delay, nil if there is
// none. Some hosts send more after an answer, even a second copy, some milliseconds later, which must not be taken
// for the answer of the next request. What arrives within the delay is detected before the next command is written;
// what arrives later could not be distinguished from its answer.
func (p *hostPool) reusableConn(now clock.Instant) *conn {
	for _, c := range slices.Backward(p.idle) {
		if now.Sub(c.idleSince) >= p.transport.reuseDelay {
			return c
		}
	}
	return nil
}

// closeIdle closes the host's idle connections.
func (p *hostPool) closeIdle() {
	for len(p.idle) > 0 {
		p.idle[0].close()
	}
}

// ensureCapacity reports whether one more connection may be opened. At the limit it closes the longest idle one.
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

// CloseIdle closes connections that have been idle for longer than the idle timeout. Hosts close theirs soon after, and
// a request that is sent at that moment may have run. It checks only the connections that it closes and one more.
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
