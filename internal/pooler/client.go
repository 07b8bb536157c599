package pooler

import (
	"net"
	"net/netip"

	"ravensill/internal/config"
	"ravensill/pool"
)

// Client speaks for a holder with the voters. All its fields but the socket belong to the loop that do brings work to.
type Client struct {
	cfg    *config.Pool
	do     func(func())
	socket *net.UDPConn
	ask    int // the voter that leads, as far as is known
	missed int // reports since its last answer
	last   *pool.Report
	again  bool // that one was sent a second time, to another voter

	Told, Heard, Dropped int // datagrams
}

// Dial opens the socket.
func Dial(cfg *config.Pool, do func(func())) (*Client, error) {
	socket, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, do: do, socket: socket}, nil
}

func (c *Client) Close() { c.socket.Close() }

// Tell sends a report to the leader. Who does not answer is not asked a third time in a row.
func (c *Client) Tell(r *pool.Report) {
	if c.missed++; c.missed > 2 {
		c.ask, c.missed = (c.ask+1)%len(c.cfg.Voters), 1
	}
	c.last, c.again = r, false
	c.send()
}

func (c *Client) send() {
	if b, err := Encode(c.cfg.Key, &Word{Report: c.last}); err == nil {
		c.Told++
		c.socket.WriteToUDPAddrPort(b, c.cfg.Voters[c.ask])
	}
}

// Listen hands on each grant, in the loop, until the socket is closed.
func (c *Client) Listen(grant func(*pool.Grant)) {
	buf := make([]byte, most+1)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errIsClosed(err) {
				return
			}
			continue
		}
		w, err := Decode(c.cfg.Key, buf[:n])
		c.do(func() {
			switch {
			case err != nil || w.Grant == nil && w.Leader == nil:
				c.Dropped++
			case w.Grant != nil:
				c.Heard++
				c.missed = 0
				c.from(from)
				grant(w.Grant)
			case *w.Leader >= 0 && *w.Leader < len(c.cfg.Voters):
				c.Heard++
				if c.ask != *w.Leader && !c.again && c.last != nil {
					c.ask, c.again = *w.Leader, true
					c.send()
				}
			default:
				c.Dropped++
			}
		})
	}
}

func (c *Client) from(addr netip.AddrPort) {
	for i, v := range c.cfg.Voters {
		if v == addr {
			c.ask = i
		}
	}
}
