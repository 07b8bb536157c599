package emulator

import (
	"net"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/lab/actor"
)

// hostConn is one connection of a gateway.
type hostConn struct {
	host    *Host
	number  int
	conn    net.Conn
	replies chan []byte
	queue   []*command // in the order of arrival, which is that of the replies
}

// command is one command that was not answered yet.
type command struct {
	Command
	index int // in the log
	conn  *hostConn
	reply []byte // once it has ended
	timer *time.Timer
}

// fail ends a connection and the commands on it.
func (c *hostConn) fail(outcome string) {
	h := c.host
	if !h.conns[c] {
		return
	}
	delete(h.conns, c)
	for _, command := range c.queue {
		if command.reply == nil {
			command.end(outcome, nil)
		}
	}
	close(c.replies)
	resetConn(c.conn)
	h.recordStep()
}

// receive queues and begins a command.
func (c *hostConn) receive(args []string) {
	if !c.host.conns[c] {
		return
	}
	newCommand := &command{conn: c, index: -1}
	c.queue = append(c.queue, newCommand)
	newCommand.execute(args)
}

// execute begins a command.
func (c *command) execute(args []string) {
	h := c.conn.host
	verb := ""
	if len(args) > 0 {
		verb = strings.ToUpper(args[0])
	}
	switch verb {
	case "PING":
		c.sendReply(redcon.AppendString(nil, "PONG"))
		return
	case "CLIENT", "SELECT":
		c.sendReply(redcon.AppendOK(nil))
		return
	case "INFO":
		if h.Probes {
			c.sendReply(redcon.AppendBulkString(nil, h.loadReport()))
		} else {
			c.sendReply([]byte("-NOPERM\r\n"))
		}
		return
	case "CALL.GET", "CALL.POST":
	default:
		c.sendReply([]byte("-ERR unknown command\r\n"))
		return
	}
	if len(args) < 4 || len(args) > 5 || len(args[1]) != 16 || args[2] == "" || Value(args[3], "c") == "" {
		h.log.Bad++
		c.sendReply([]byte("-SYNTAX\r\n"))
		return
	}
	c.Command = Command{At: actor.Now(), ID: args[2], Customer: args[1], Class: Value(args[3], "c"), Connection: c.conn.number,
		Load: float64(h.inFlight)}
	factor := h.slowdown / h.Speed
	if h.warming {
		factor *= h.Model.warmUpFactor(time.Duration(c.At - h.startedAt))
	}
	c.Time = h.Model.Time(c.ID, c.Class, c.Load, factor)
	c.index = len(h.log.Commands)
	h.log.Commands = append(h.log.Commands, c.Command)
	if h.Model.Most > 0 && h.inFlight >= h.Model.Most {
		h.log.Busy++
		c.end("busy", []byte("-BUSY\r\n"))
		return
	}
	h.inFlight++
	h.recordStep()
	if h.hanging {
		h.withheld = append(h.withheld, c)
		return
	}
	c.timer = h.After(c.Time, c.finish)
}

// finish ends a command whose time has passed, unless the host hangs.
func (c *command) finish() {
	h := c.conn.host
	if c.reply != nil || c.Outcome != "" {
		return
	}
	if h.hanging {
		h.withheld = append(h.withheld, c)
		return
	}
	if h.Model.Fails(c.ID) {
		c.end("errored", []byte("-ERR failed\r\n"))
		return
	}
	b := redcon.AppendArray(nil, 3)
	b = redcon.AppendBulkString(b, "of "+c.ID+" by "+h.ID)
	b = redcon.AppendNull(b)
	if len(h.Report) > 0 {
		b = redcon.AppendBulkString(b, h.loadReport())
	} else {
		b = redcon.AppendNull(b)
	}
	c.end("passed", b)
}

// end ends a command and logs its outcome; reply is nil if nobody is left to read it.
func (c *command) end(outcome string, reply []byte) {
	h := c.conn.host
	if c.index >= 0 && c.Outcome == "" {
		c.Outcome = outcome
		entry := &h.log.Commands[c.index]
		entry.Outcome, entry.Ended = outcome, actor.Now()
		if outcome != "busy" {
			h.inFlight--
			h.recordStep()
		}
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	if reply != nil {
		c.sendReply(reply)
	}
}

// sendReply sends the replies that are ready, in the order of the commands.
func (c *command) sendReply(reply []byte) {
	conn := c.conn
	c.reply = reply
	for len(conn.queue) > 0 && conn.queue[0].reply != nil {
		select {
		case conn.replies <- conn.queue[0].reply:
			conn.queue = conn.queue[1:]
		default: // the other side does not read
			conn.fail("gone")
			return
		}
	}
}
