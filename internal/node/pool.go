package node

import (
	"log"
	"time"

	"ravensill/internal/hosts"
	"ravensill/internal/pooler"
	"ravensill/pool"
)

// pooling keeps the gateway to its quota of connections where the section pool is on: the holder says how many there may be,
// the gate of the fleet keeps to it, and the client tells the voters. Its fields belong to the loop.
type pooling struct {
	node   *Node
	holder *pool.Holder
	gate   *hosts.Gate
	client *pooler.Client
	urgent []bool // by request class: first within the floor
	lineAt int64
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
		holder: pool.NewHolder(&cfg.Terms, n.cfg.Seat.Index, uint64(n.unix), cfg.Weight, cfg.Serial, cfg.Capacity, now)}
	for index, name := range n.cfg.FrontNames {
		p.named(index, name)
	}
	p.gate = n.fleet.Limit(cfg.Terms.Floor, cfg.Turn, p.holder.Allowed, p.holder.Turned)
	n.pool = p
	go client.Listen(func(g *pool.Grant) { p.holder.Hear(n.now(), g) })
	log.Printf("event=pool_on seat=%d floor=%d capacity=%d voters=%d", n.cfg.Seat.Index, cfg.Terms.Floor, cfg.Capacity, len(cfg.Voters))
	return end, nil
}

// turn tells what is to be told, and when it next has to look; 0 where there is no quota.
func (p *pooling) turn() int64 {
	if p == nil {
		return 0
	}
	now := p.node.now()
	held, use := p.gate.Use()
	p.holder.Use(now, held, use)
	if r := p.holder.Report(now); r != nil {
		p.client.Tell(r)
	}
	if now-p.lineAt >= poolLine {
		p.lineAt = now
		g, c := p.gate, p.client
		log.Printf("event=pool_quota allowed=%d held=%d use=%d waited=%d turned_away=%d dials=%d refused=%d told=%d heard=%d dropped=%d silent_ms=%d",
			p.holder.Allowed(now), held, use, g.Waited, g.Away, g.Dials, g.Refused, c.Told, c.Heard, c.Dropped, (now-p.holder.Heard())/1e6)
	}
	return p.holder.Due(now)
}

// named takes in a request class; a new one has the next index.
func (p *pooling) named(index int, name string) {
	if p != nil && index == len(p.urgent) {
		p.urgent = append(p.urgent, p.node.cfg.Pool.Urgent[name])
	}
}

// next tells the gate whose dispatch comes next.
func (p *pooling) next(r *req) {
	if p != nil {
		p.gate.Urgent(p.urgent[r.front])
	}
}

// ended denies a req whose dispatch was turned away for want of a connection, with the time to come back.
func (p *pooling) ended(r *req) {
	if p == nil || r.closed || r.out > 0 || p.gate.Back() == 0 {
		return
	}
	after := p.gate.Back()
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
		p.holder.Capacity(serial, capacity)
	}
}
