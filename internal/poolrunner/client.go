package poolrunner

import (
	"net"
	"net/netip"

	"ravensill/internal/config"
	"ravensill/internal/sockets"
	"ravensill/pool"
)

// maxUnanswered is the number of reports that a voter may leave unanswered before the next one is asked.
const maxUnanswered = 2

// Client exchanges reports and grants with the voters for a lease holder. Its fields but the socket belong to the event loop, to
// which runOnLoop brings work from other goroutines.
type Client struct {
	system     sockets.System
	cfg        *config.Pool
	runOnLoop  func(func())
	socket     *net.UDPConn
	leader     int // index of the voter that leads, as far as is known
	unanswered int // reports since the last answer
	lastReport *pool.Report
	resent     bool // whether lastReport was sent again, to another voter

	Sent     int // datagrams
	Received int // valid datagrams
	Dropped  int // invalid datagrams
}

// Dial opens the client's socket by the calls of system. runOnLoop runs a function on the event loop.
func Dial(system sockets.System, cfg *config.Pool, runOnLoop func(func())) (*Client, error) {
	socket, err := system.ListenPacket(netip.AddrPortFrom(netip.IPv4Unspecified(), 0))
	if err != nil {
		return nil, err
	}
	return &Client{system: system, cfg: cfg, runOnLoop: runOnLoop, socket: socket}, nil
}

// Close closes the socket and ends Listen.
func (c *Client) Close() { c.socket.Close() }

// Send sends a report to the voter that leads. If that voter left too many unanswered, it sends to the next voter.
func (c *Client) Send(report *pool.Report) {
	c.unanswered++
	if c.unanswered > maxUnanswered {
		c.leader = (c.leader + 1) % len(c.cfg.Voters)
		c.unanswered = 1
	}
	c.lastReport = report
	c.resent = false
	c.sendLastReport()
}

func (c *Client) sendLastReport() {
	datagram, err := Encode(c.cfg.Key, &Message{Report: c.lastReport})
	if err != nil {
		return
	}
	c.Sent++
	c.socket.WriteToUDPAddrPort(datagram, c.cfg.Voters[c.leader])
}

// Listen calls grant on the event loop for each grant received, until Close.
func (c *Client) Listen(grant func(*pool.Grant)) {
	buffer := make([]byte, maxDatagramBytes+1)
	var pause sockets.ReadBackoff
	for {
		n, from, err := c.system.ReadPacket(c.socket, buffer)
		if isClosed(err) {
			return
		}
		if err != nil {
			pause.Failed()
			continue
		}
		pause.Succeeded()
		message, err := Decode(c.cfg.Key, buffer[:n])
		c.runOnLoop(func() { c.receive(message, err, from, grant) })
	}
}

// receive handles a datagram. err is that of its decoding.
func (c *Client) receive(message *Message, err error, from netip.AddrPort, grant func(*pool.Grant)) {
	switch {
	case err != nil || message.Grant == nil && message.Leader == nil:
		c.Dropped++
	case message.Grant != nil:
		c.Received++
		c.unanswered = 0
		c.setLeader(from)
		grant(message.Grant)
	case *message.Leader >= 0 && *message.Leader < len(c.cfg.Voters):
		c.Received++
		if c.leader != *message.Leader && !c.resent && c.lastReport != nil {
			c.leader = *message.Leader
			c.resent = true
			c.sendLastReport()
		}
	default:
		c.Dropped++
	}
}

// setLeader sends further reports to the voter with the address.
func (c *Client) setLeader(address netip.AddrPort) {
	for i, voter := range c.cfg.Voters {
		if voter == address {
			c.leader = i
		}
	}
}
