package hosts

import (
	"log/slog"
	"net/netip"
	"slices"
)

// hostPool holds the connections to one host and the attempts that wait for one.
type hostPool struct {
	transport *Transport
	addr      netip.AddrPort
	idle      []*conn // the longest idle first
	pending   []*Attempt
	dialing   int  // dials in progress
	failing   bool // whether the latest attempt failed by the host's fault; logged when it changes
	removed   bool // whether the host is removed: no attempt is made to it
}

// schedule assigns an idle connection to the attempt, or dials one for it.
func (p *hostPool) schedule(attempt *Attempt) {
	if c := p.reusableConn(p.transport.now()); c != nil {
		c.assign(attempt)
		return
	}
	p.setPending(append(p.pending, attempt))
	p.dialPending()
}

// dialPending starts a dial for each pending attempt that has none. Attempts for which no connection may be opened
// fail, the latest first.
func (p *hostPool) dialPending() {
	for p.dialing < len(p.pending) {
		if !p.transport.ensureCapacity() {
			latest := len(p.pending) - 1
			attempt := p.pending[latest]
			p.setPending(p.pending[:latest])
			attempt.fail(Connecting, errNoDescriptor)
			continue
		}
		p.addDialing(1)
		p.transport.openConns++
		c := &conn{pool: p, addr: p.addr}
		go c.run()
	}
}

// takePending removes and returns the attempt that has waited longest.
func (p *hostPool) takePending() *Attempt {
	attempt := p.pending[0]
	p.setPending(p.pending[1:])
	return attempt
}

// setPending replaces the pending attempts and updates the transport's count of them.
func (p *hostPool) setPending(pending []*Attempt) {
	if !p.removed {
		p.transport.pendingCount += len(pending) - len(p.pending)
	}
	p.pending = pending
}

// addDialing adds to the dials in progress, and to the transport's count of them.
func (p *hostPool) addDialing(delta int) {
	p.dialing += delta
	if !p.removed {
		p.transport.dialingCount += delta
	}
}

// hostAnswered logs that the host answers again if its latest attempt failed.
func (p *hostPool) hostAnswered() {
	if p.failing {
		p.failing = false
		slog.Info("host_recovered", "addr", p.addr)
	}
}

// cancelUnstarted cancels all attempts to the host of which no byte is written.
func (p *hostPool) cancelUnstarted(reason error) {
	t := p.transport
	attempts := slices.Clone(p.pending)
	if t.limiter != nil {
		attempts = append(attempts, t.limiter.queue...)
	}
	for _, c := range t.toFlush {
		if c.attempt != nil {
			attempts = append(attempts, c.attempt)
		}
	}
	for _, attempt := range attempts {
		if attempt.pool == p && !attempt.started {
			attempt.Cancel(reason)
		}
	}
}
