package node

import (
	"log"
	"time"

	"ravensill/internal/hosts"
	"ravensill/internal/pooler"
	"ravensill/pool"
)

// pooling keeps the gateway to its quota of connections where the section pool is on: the holder says how many there may be,
// the connection limiter keeps to it, and the client tells the voters. Its fields belong to the loop.
type pooling struct {
	node        *Node
	leaseholder *pool.Holder
	limiter     *hosts.ConnectionLimiter
	client      *pooler.Client
	urgent      []bool // by request class: first within the floor
	lineAt      int64
}

const poolLine = int64(5 * time.Second)

// poolUp starts the holder, and the voter where this gateway is one; the returned function ends them.
func (n *Node) poolUp(stop <-chan struct{}) (end func(), err error) {
	cfg := n.cfg.Pool
	if cfg == nil {
		return func() {}, nil
	}
	client, err := pooler.Dial(cfg, n.do)
	if err != nil {
		return nil, err
	}
	end = client.Close
	if me := cfg.Voter(n.cfg.Seat.Index); me >= 0 {
		var voter *pooler.Voter
		err := claim("pool.listen", cfg.Listen, stop, func() (err error) {
			voter, err = pooler.Start(cfg, me)
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
	p := &pooling{node: n, client: client, lineAt: now,
		leaseholder: pool.NewHolder(&cfg.Terms, n.cfg.Seat.Index, uint64(n.unix), cfg.Weight, cfg.Serial, cfg.Capacity, now)}
	for index, name := range n.cfg.FrontNames {
		p.named(index, name)
	}
	p.limiter = n.transport.LimitConnections(cfg.Terms.Floor, cfg.Turn, p.leaseholder.Allowed, p.leaseholder.Turned)
	n.pool = p
	go client.Listen(func(g *pool.Grant) { p.leaseholder.Hear(n.now(), g) })
	log.Printf("event=pool_on seat=%d floor=%d capacity=%d voters=%d", n.cfg.Seat.Index, cfg.Terms.Floor, cfg.Capacity, len(cfg.Voters))
	return end, nil
}

// turn tells what is to be told, and when it next has to look; 0 where there is no quota.
func (p *pooling) turn() int64 {
	if p == nil {
		return 0
	}
	now := p.node.now()
	held, demand := p.limiter.Usage()
	p.leaseholder.Use(now, held, demand)
	if r := p.leaseholder.Report(now); r != nil {
		p.client.Tell(r)
	}
	if now-p.lineAt >= poolLine {
		p.lineAt = now
		limiter, client := p.limiter, p.client
		log.Printf("event=pool_quota allowed=%d held=%d use=%d waited=%d turned_away=%d dials=%d refused=%d told=%d heard=%d dropped=%d silent_ms=%d",
			p.leaseholder.Allowed(now), held, demand, limiter.Queued, limiter.Rejected, limiter.Dials, limiter.Refused,
			client.Told, client.Heard, client.Dropped, (now-p.leaseholder.Heard())/1e6)
	}
	return p.leaseholder.Due(now)
}

// named takes in a request class; a new one has the next index.
func (p *pooling) named(index int, name string) {
	if p != nil && index == len(p.urgent) {
		p.urgent = append(p.urgent, p.node.cfg.Pool.Urgent[name])
	}
}

// next tells the connection limiter of whose request class the next attempt is.
func (p *pooling) next(r *req) {
	if p != nil {
		p.limiter.SetUrgent(p.urgent[r.front])
	}
}

// ended denies a req whose dispatch was turned away for want of a connection, with the time to come back.
func (p *pooling) ended(r *req) {
	if p == nil || r.closed || r.out > 0 || p.limiter.RetryAfter() == 0 {
		return
	}
	after := p.limiter.RetryAfter()
	if !p.node.cfg.Limits.RetryAfter {
		after = 0
	}
	if most := p.node.cfg.Limits.LongestAdvice; most > 0 {
		after = min(after, most)
	}
	r.answer.Denied(after)
	r.closed = true
}

// capacity takes in what the file now says of the store.
func (p *pooling) capacity(serial uint64, capacity int) {
	if p != nil {
		p.leaseholder.Capacity(serial, capacity)
	}
}
