package poolrunner

import (
	"net/netip"
	"sync"

	"ravensill/internal/config"
	"ravensill/internal/sockets"
	"ravensill/pool"
)

// maxUnanswered is the number of consecutive reports that a voter may leave unanswered. Later ones go to the next
// voter.
const maxUnanswered = 2

// Client sends the reports of a lease holder to the leading voter and receives its grants. All methods must be called
// on the event loop, except that Close may also be called after the loop has ended.
type Client struct {
	cfg               *config.Pool
	runOnLoop         func(func())
	conn              *messageConn
	reader            sync.WaitGroup // the goroutine that reads datagrams
	leaderIndex       int            // index in cfg.Voters of the presumed leader
	unansweredReports int            // reports sent to that voter since the latest grant
	lastReport        *pool.Report   // latest report that was sent; nil: none
	resent            bool           // lastReport was sent a second time, to another voter

	DatagramsSent     int
	DatagramsReceived int // valid ones only
	DatagramsDropped  int // datagrams received that are invalid
}

// NewClient opens a UDP socket through system, on a port that the kernel chooses, and returns a client that uses it.
// runOnLoop has to run a function on the event loop. NewClient fails if the socket can't be opened.
func NewClient(system sockets.System, cfg *config.Pool, runOnLoop func(func())) (*Client, error) {
	conn, err := openMessageConn(system, netip.AddrPortFrom(netip.IPv4Unspecified(), 0), cfg.Key)
	if err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, runOnLoop: runOnLoop, conn: conn}, nil
}

// Start starts a goroutine that receives datagrams until Close. onGrant is called on the event loop for each grant.
func (c *Client) Start(onGrant func(*pool.Grant)) {
	c.reader.Go(func() {
		c.conn.read(func(message *Message, err error, from netip.AddrPort) {
			c.runOnLoop(func() { c.receive(message, err, from, onGrant) })
		})
	})
}

// Close closes the socket and waits until the goroutine of Start has ended. That goroutine may be calling runOnLoop, so
// runOnLoop must return even if the event loop is waiting in Close or has ended.
func (c *Client) Close() {
	c.conn.close()
	c.reader.Wait()
}

// Send sends a report to the presumed leader. If that voter left the last maxUnanswered reports unanswered, the next
// voter becomes the presumed leader first.
func (c *Client) Send(report *pool.Report) {
	c.unansweredReports++
	if c.unansweredReports > maxUnanswered {
		c.leaderIndex = (c.leaderIndex + 1) % len(c.cfg.Voters)
		c.unansweredReports = 1
	}
	c.lastReport = report
	c.resent = false
	c.sendLastReport()
}

func (c *Client) sendLastReport() {
	if c.conn.send(c.cfg.Voters[c.leaderIndex], &Message{Report: c.lastReport}) {
		c.DatagramsSent++
	}
}

// receive handles a received datagram. err is the error of Decode; message is nil then.
func (c *Client) receive(message *Message, err error, from netip.AddrPort, onGrant func(*pool.Grant)) {
	switch {
	case err != nil:
		c.DatagramsDropped++
	case message.Grant != nil:
		c.DatagramsReceived++
		c.unansweredReports = 0
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

// resendTo makes the voter that an answer names the presumed leader and sends the latest report again, to that voter.
// It does so at most once for each report, so that two voters that name each other as the leader cause no endless loop.
func (c *Client) resendTo(leader int) {
	if c.leaderIndex == leader || c.resent || c.lastReport == nil {
		return
	}
	c.leaderIndex = leader
	c.resent = true
	c.sendLastReport()
}

// setLeader makes the voter with an address the presumed leader. It does nothing if no voter has the address.
func (c *Client) setLeader(address netip.AddrPort) {
	for i, voter := range c.cfg.Voters {
		if voter == address {
			c.leaderIndex = i
		}
	}
}
