package hosts

import (
	"log/slog"
	"net/netip"
	"slices"
)

// hostPool holds the connections to one host and the attempts that wait for one.
type hostPool struct {
	transport *Transport
	addr      netip.AddrPort // the host's current address

	generation int        // number of later processes that have taken the place of an earlier one
	idle       []*conn    // the longest idle first
	pending    []*Attempt // attempts that wait for a dial, the longest waiting first
	dialing    int        // dials in progress
	failing    bool       // whether an attempt has failed by the host's fault since the host last answered
	removed    bool       // whether the host was removed: no attempt is made to it
}

// schedule assigns an idle connection to the attempt, or adds the attempt to the pending ones and dials for it.
func (p *hostPool) schedule(attempt *Attempt) {
	if c := p.reusableConn(p.transport.now()); c != nil {
		c.assign(attempt)
		return
	}
	p.setPending(append(p.pending, attempt))
	p.dialPending()
}

// dialPending starts dials until there is one for each pending attempt. Attempts for which no connection may be opened
// fail, the latest first.
func (p *hostPool) dialPending() {
	for p.dialing < len(p.pending) {
		if !p.transport.ensureCapacity() {
			latest := len(p.pending) - 1
			attempt := p.pending[latest]
			p.setPending(p.pending[:latest])
			attempt.fail(Connecting, errConnectionLimit)
			continue
		}
		p.addDialing(1)
		p.transport.openConns++
		c := &conn{pool: p, addr: p.addr, generation: p.generation}
		go c.run()
	}
}

// takePending removes and returns the attempt that has been pending for the longest time. There must be one.
func (p *hostPool) takePending() *Attempt {
	attempt := p.pending[0]
	p.setPending(p.pending[1:])
	return attempt
}

// setPending replaces the pending attempts and updates the transport's count of them, which excludes those of removed
// hosts.
func (p *hostPool) setPending(pending []*Attempt) {
	if !p.removed {
		p.transport.pendingCount += len(pending) - len(p.pending)
	}
	p.pending = pending
}

// addDialing adds delta to the number of dials in progress and to the transport's count of them, which excludes those
// to removed hosts.
func (p *hostPool) addDialing(delta int) {
	p.dialing += delta
	if !p.removed {
		p.transport.dialingCount += delta
	}
}

// markRecovered is called when the host has answered. It logs that if an attempt has failed since the previous answer.
func (p *hostPool) markRecovered() {
	if p.failing {
		p.failing = false
		slog.Info("host_recovered", "addr", p.addr)
	}
}

// cancelUnstarted cancels, with the given reason, all attempts to the host whose command was not started.
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
