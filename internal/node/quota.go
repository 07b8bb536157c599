package node

import (
	"log/slog"
	"time"

	"ravensill/gateway"
	"ravensill/internal/hosts"
	"ravensill/internal/poolrunner"
	"ravensill/pool"
)

// connectionQuota keeps the gateway within its quota of connections if the section pool is configured: the
// lease holder knows how many may be open, the connection limiter enforces that, and the client exchanges
// reports and grants with the voters. Its fields belong to the loop. Without a quota it is nil, and its methods
// do nothing.
type connectionQuota struct {
	node        *Node
	leaseholder *pool.Leaseholder
	limiter     *hosts.ConnectionLimiter
	client      *poolrunner.Client
	urgent      []bool       // by request class
	lastLog     gateway.Time // time of the latest status line
}

const poolLogInterval = 5 * time.Second

// startQuota starts the lease holder, and the voter if this gateway is one. The returned function ends them.
func (n *Node) startQuota(stop <-chan struct{}) (end func(), err error) {
	cfg := n.cfg.Pool
	if cfg == nil {
		return func() {}, nil
	}
	client, err := poolrunner.NewClient(n.system, cfg, n.runOnLoop)
	if err != nil {
		return nil, err
	}
	end = client.Close
	if index := cfg.VoterIndex(n.cfg.Membership.Index); index >= 0 {
		var voter *poolrunner.Voter
		err := listenWithRetry("pool.listen", cfg.Listen, stop, func() (err error) {
			voter, err = poolrunner.StartVoter(n.system, cfg, index)
			return err
		})
		if err != nil {
			client.Close()
			return nil, err
		}
		end = func() {
			client.Close()
			voter.Close()
		}
	}
	now := n.now()
	p := &connectionQuota{
		node:    n,
		client:  client,
		lastLog: now,
		leaseholder: pool.NewLeaseholder(&cfg.Terms, n.cfg.Membership.Index, uint64(n.epoch), cfg.Weight, cfg.Serial,
			cfg.Capacity, now),
	}
	for index, name := range n.cfg.ClassNames {
		p.addClass(index, name)
	}
	p.limiter = n.transport.LimitConnections(
		cfg.Terms.Floor,
		cfg.MaxWait,
		p.leaseholder.Allowed,
		p.leaseholder.AddRejected,
	)
	n.quota = p
	client.Start(func(grant *pool.Grant) { p.leaseholder.Receive(n.now(), grant) })
	slog.Info("pool_enabled",
		"member", n.cfg.Membership.Index,
		"floor", cfg.Terms.Floor,
		"capacity", cfg.Capacity,
		"voters", len(cfg.Voters),
	)
	return end, nil
}

// report sends a report if one is due, and returns when to call it again; 0: there is no quota.
func (p *connectionQuota) report() gateway.Time {
	if p == nil {
		return 0
	}
	now := p.node.now()
	open, demand := p.limiter.Usage()
	p.leaseholder.SetUsage(now, open, demand)
	if report := p.leaseholder.Report(now); report != nil {
		p.client.Send(report)
	}
	if now.Sub(p.lastLog) >= poolLogInterval {
		p.lastLog = now
		p.logStatus(now, open, demand)
	}
	return p.leaseholder.NextDeadline(now)
}

// logStatus logs how many connections are allowed, open and wanted.
func (p *connectionQuota) logStatus(now gateway.Time, open, demand int) {
	slog.Info("pool_quota_status",
		"allowed", p.leaseholder.Allowed(now),
		"connections", open,
		"demand", demand,
		"queued", p.limiter.QueuedAttempts,
		"rejected", p.limiter.RejectedAttempts,
		"dials", p.limiter.Dials,
		"dials_refused", p.limiter.RefusedConnections,
		"datagrams_sent", p.client.DatagramsSent,
		"datagrams_received", p.client.DatagramsReceived,
		"datagrams_dropped", p.client.DatagramsDropped,
		"since_grant_ms", now.Sub(p.leaseholder.LastAnswered()).Milliseconds(),
	)
}

// addClass adds a request class. A new one has the next index.
func (p *connectionQuota) addClass(index int, name string) {
	if p != nil && index == len(p.urgent) {
		p.urgent = append(p.urgent, p.node.cfg.Pool.UrgentClasses[name])
	}
}

// setUrgency sets whether the next attempt is of an urgent request class.
func (p *connectionQuota) setUrgency(r *request) {
	if p != nil {
		p.limiter.SetUrgent(p.urgent[r.command.Class])
	}
}

// rejectThrottled rejects a request whose attempt got no connection, with the time to retry after.
func (p *connectionQuota) rejectThrottled(r *request) {
	if p == nil || r.closed || r.inFlight > 0 || p.limiter.RetryAfter() == 0 {
		return
	}
	after := p.limiter.RetryAfter()
	if !p.node.cfg.Limits.RetryAfter {
		after = 0
	}
	if most := p.node.cfg.Limits.MaxRetryAfter; most > 0 {
		after = min(after, most)
	}
	r.answer.Reject(after)
	r.closed = true
}

// setCapacity sets the capacity of the store, after a change of the configuration file.
func (p *connectionQuota) setCapacity(serial uint64, capacity int) {
	if p != nil {
		p.leaseholder.SetCapacity(serial, capacity)
	}
}
