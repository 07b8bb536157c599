package node

import (
	"log/slog"
	"time"

	"ravensill/gateway"
	"ravensill/internal/hosts"
	"ravensill/internal/poolrunner"
	"ravensill/pool"
)

// connectionQuota keeps the gateway within its share of the connections to the store, if the configuration has the
// section pool. The lease holder knows how many connections may be open, the limiter enforces that number, and the
// client sends reports to the voters and receives their grants. Only the loop uses the fields. A Node without a quota
// has a nil connectionQuota, on which the methods do nothing.
type connectionQuota struct {
	node          *Node
	leaseholder   *pool.Leaseholder
	limiter       *hosts.ConnectionLimiter
	client        *poolrunner.Client
	urgentClasses []bool       // whether a request class is urgent, by index
	lastLoggedAt  gateway.Time // time of the latest log line pool_quota_status
}

const quotaLogInterval = 5 * time.Second // time between log lines pool_quota_status

// startQuota starts the connection quota if the section pool is configured, and the voter if this gateway is one. The
// returned function stops both. If stop is closed while the voter's address is in use, it returns errStopRequested.
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
	q := &connectionQuota{
		node:         n,
		client:       client,
		lastLoggedAt: now,
		leaseholder: pool.NewLeaseholder(&cfg.Terms, n.cfg.Membership.Index, uint64(n.epoch), cfg.Weight, cfg.Serial,
			cfg.Capacity, now),
	}
	for index, name := range n.cfg.ClassNames {
		q.addClass(index, name)
	}
	q.limiter = n.transport.LimitConnections(
		cfg.Terms.Floor,
		cfg.MaxWait,
		q.leaseholder.Allowed,
		q.leaseholder.AddRejected,
	)
	n.quota = q
	client.Start(func(grant *pool.Grant) { q.leaseholder.Receive(n.now(), grant) })
	slog.Info("pool_enabled",
		"member", n.cfg.Membership.Index,
		"floor", cfg.Terms.Floor,
		"capacity", cfg.Capacity,
		"voters", len(cfg.Voters),
	)
	return end, nil
}

// sendReport updates the lease holder with the present use of connections, sends its report to the voters if one is
// due, and returns when to call it again; 0: there is no quota.
func (q *connectionQuota) sendReport() gateway.Time {
	if q == nil {
		return 0
	}
	now := q.node.now()
	open, demand := q.limiter.Usage()
	q.leaseholder.SetUsage(now, open, demand)
	if report := q.leaseholder.Report(now); report != nil {
		q.client.Send(report)
	}
	if now.Sub(q.lastLoggedAt) >= quotaLogInterval {
		q.lastLoggedAt = now
		q.logStatus(now, open, demand)
	}
	return q.leaseholder.NextDeadline(now)
}

// logStatus logs how many connections are allowed, open and wanted, with the counts of the limiter and the client.
func (q *connectionQuota) logStatus(now gateway.Time, open, demand int) {
	slog.Info("pool_quota_status",
		"allowed", q.leaseholder.Allowed(now),
		"connections", open,
		"demand", demand,
		"queued", q.limiter.QueuedAttempts,
		"rejected", q.limiter.RejectedAttempts,
		"dials", q.limiter.Dials,
		"dials_refused", q.limiter.RefusedConnections,
		"datagrams_sent", q.client.DatagramsSent,
		"datagrams_received", q.client.DatagramsReceived,
		"datagrams_dropped", q.client.DatagramsDropped,
		"since_grant_ms", now.Sub(q.leaseholder.LastAnswered()).Milliseconds(),
	)
}

// addClass adds a request class if its index is the next one. Other indices belong to known classes.
func (q *connectionQuota) addClass(index int, name string) {
	if q != nil && index == len(q.urgentClasses) {
		q.urgentClasses = append(q.urgentClasses, q.node.cfg.Pool.UrgentClasses[name])
	}
}

// setUrgency tells the limiter whether the next attempt is of an urgent request class. It is called before each send.
func (q *connectionQuota) setUrgency(r *request) {
	if q != nil {
		q.limiter.SetUrgent(q.urgentClasses[r.command.Class])
	}
}

// setCapacity sets the capacity of the store from a reloaded configuration file. A serial older than the known one is
// ignored.
func (q *connectionQuota) setCapacity(serial uint64, capacity int) {
	if q != nil {
		q.leaseholder.SetCapacity(serial, capacity)
	}
}
