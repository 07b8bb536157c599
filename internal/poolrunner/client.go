package poolrunner

import (
	"net/netip"
	"sync"

	"ravensill/internal/config"
	"ravensill/internal/sockets"
	"ravensill/pool"
)

// maxUnanswered is the number of reports that a voter may leave unanswered before reports are sent to the next one.
const maxUnanswered = 2

// Client exchanges reports and grants with the voters for a lease holder. Its methods have to be called on the event
// loop, Close also after the loop has ended.
type Client struct {
	cfg        *config.Pool
	runOnLoop  func(func())
	conn       *messageConn
	reading    sync.WaitGroup // the goroutine that Start starts
	leader     int            // index of the voter that leads, as far as is known
	unanswered int            // reports since the last answer
	lastReport *pool.Report
	resent     bool // lastReport was sent again, to another voter

	DatagramsSent     int // datagrams
	DatagramsReceived int // valid datagrams
	DatagramsDropped  int // invalid datagrams
}

// NewClient opens the client's socket by the calls of system. runOnLoop runs a function on the event loop.
func NewClient(system sockets.System, cfg *config.Pool, runOnLoop func(func())) (*Client, error) {
	conn, err := listenMessages(system, netip.AddrPortFrom(netip.IPv4Unspecified(), 0), cfg.Key)
	if err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, runOnLoop: runOnLoop, conn: conn}, nil
}

// Start starts a goroutine that reads datagrams until Close. onGrant is called on the event loop for each grant.
func (c *Client) Start(onGrant func(*pool.Grant)) {
	c.reading.Go(func() {
		c.conn.read(func(message *Message, err error, from netip.AddrPort) {
			c.runOnLoop(func() { c.receive(message, err, from, onGrant) })
		})
	})
}

// Close closes the socket and waits for the goroutine that reads from it. The function runOnLoop must not block then.
func (c *Client) Close() {
	c.conn.close()
	c.reading.Wait()
}

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
	if c.conn.send(c.cfg.Voters[c.leader], &Message{Report: c.lastReport}) {
		c.DatagramsSent++
	}
}

// receive handles a datagram. err is that of its decoding.
func (c *Client) receive(message *Message, err error, from netip.AddrPort, onGrant func(*pool.Grant)) {
	switch {
	case err != nil:
		c.DatagramsDropped++
	case message.Grant != nil:
		c.DatagramsReceived++
		c.unanswered = 0
		c.setLeader(from)
		onGrant(message.Grant)
	case message.Leader != nil && c.isVoter(*message.Leader):
		c.DatagramsReceived++
		c.resendTo(*message.Leader)
	default:
		c.DatagramsDropped++
	}
}

func (c *Client) isVoter(index int) bool { return index >= 0 && index < len(c.cfg.Voters) }

// resendTo sends the latest report again to another voter, which leads by the answer to it. It does so once for each
// report, so that voters that name each other cause no loop.
func (c *Client) resendTo(leader int) {
	if c.leader == leader || c.resent || c.lastReport == nil {
		return
	}
	c.leader = leader
	c.resent = true
	c.sendLastReport()
}

// setLeader sends further reports to the voter with the address.
func (c *Client) setLeader(address netip.AddrPort) {
	for i, voter := range c.cfg.Voters {
		if voter == address {
			c.leader = i
		}
	}
}
