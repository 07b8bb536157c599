package node

import (
	"log/slog"
	"time"

	"ravensill/gateway"
	"ravensill/internal/hosts"
	"ravensill/internal/poolrunner"
	"ravensill/pool"
)

// connectionQuota keeps the gateway to its quota of connections where the section pool is configured: the lease
// holder says how many may be open, the connection limiter enforces it, and the client exchanges reports and
// grants with the voters. Its fields belong to the loop. The methods do nothing on nil, without a quota.
type connectionQuota struct {
	node        *Node
	leaseholder *pool.Leaseholder
	limiter     *hosts.ConnectionLimiter
	client      *poolrunner.Client
	urgent      []bool       // by request class
	lastLog     gateway.Time // time of the last line in the log
}

const poolLogInterval = 5 * time.Second

// startQuota starts the lease holder, and the voter if this gateway is one. The returned function ends them.
func (n *Node) startQuota(stop <-chan struct{}) (end func(), err error) {
	cfg := n.cfg.Pool
	if cfg == nil {
		return func() {}, nil
	}
	client, err := poolrunner.Dial(n.system, cfg, n.runOnLoop)
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
	p := &connectionQuota{node: n, client: client, lastLog: now,
		leaseholder: pool.NewLeaseholder(&cfg.Terms, n.cfg.Membership.Index, uint64(n.unix), cfg.Weight, cfg.Serial, cfg.Capacity, int64(now))}
	for index, name := range n.cfg.ClassNames {
		p.addClass(index, name)
	}
	p.limiter = n.transport.LimitConnections(cfg.Terms.Floor, cfg.MaxWait, p.leaseholder.Allowed, p.leaseholder.AddRejected)
	n.quota = p
	go client.Listen(func(grant *pool.Grant) { p.leaseholder.Receive(n.unixNano(), grant) })
	slog.Info("pool_enabled",
		"member", n.cfg.Membership.Index,
		"floor", cfg.Terms.Floor,
		"capacity", cfg.Capacity,
		"voters", len(cfg.Voters),
	)
	return end, nil
}

// report sends a report if one is due, and returns the time by which to call it again, 0 without a quota.
func (p *connectionQuota) report() gateway.Time {
	if p == nil {
		return 0
	}
	now := p.node.now()
	held, demand := p.limiter.Usage()
	p.leaseholder.SetUsage(int64(now), held, demand)
	if report := p.leaseholder.Report(int64(now)); report != nil {
		p.client.Send(report)
	}
	if now.Sub(p.lastLog) >= poolLogInterval {
		p.lastLog = now
		limiter, client := p.limiter, p.client
		slog.Info("pool_quota_status",
			"allowed", p.leaseholder.Allowed(int64(now)),
			"connections", held,
			"demand", demand,
			"queued", limiter.Queued,
			"rejected", limiter.Rejected,
			"dials", limiter.Dials,
			"dials_refused", limiter.Refused,
			"datagrams_sent", client.Sent,
			"datagrams_received", client.Received,
			"datagrams_dropped", client.Dropped,
			"since_grant_ms", (int64(now)-p.leaseholder.LastAnswered())/1e6,
		)
	}
	return gateway.Time(p.leaseholder.Due(int64(now)))
}

// addClass adds a request class; a new one has the next index.
func (p *connectionQuota) addClass(index int, name string) {
	if p != nil && index == len(p.urgent) {
		p.urgent = append(p.urgent, p.node.cfg.Pool.UrgentClasses[name])
	}
}

// setUrgency tells the connection limiter whether the next attempt is of an urgent request class.
func (p *connectionQuota) setUrgency(r *request) {
	if p != nil {
		p.limiter.SetUrgent(p.urgent[r.command.Class])
	}
}

// rejectThrottled rejects a request whose attempt was rejected for want of a connection, with the time to retry after.
func (p *connectionQuota) rejectThrottled(r *request) {
	if p == nil || r.closed || r.inFlight > 0 || p.limiter.RetryAfter() == 0 {
		return
	}
	after := time.Duration(p.limiter.RetryAfter())
	if !p.node.cfg.Limits.RetryAfter {
		after = 0
	}
	if most := p.node.cfg.Limits.MaxRetryAfter; most > 0 {
		after = min(after, most)
	}
	r.answer.Reject(int64(after))
	r.closed = true
}

// setCapacity sets the capacity of the store that the configuration file now gives.
func (p *connectionQuota) setCapacity(serial uint64, capacity int) {
	if p != nil {
		p.leaseholder.SetCapacity(serial, capacity)
	}
}
