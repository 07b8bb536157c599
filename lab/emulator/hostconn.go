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
	queue   []*command // unanswered, in the order of arrival, which is that of the replies
}

// command is one command that was not answered yet.
type command struct {
	Command
	index int // in the log
	conn  *hostConn
	reply []byte // nil: not ended
	timer *time.Timer
}

// writeReplies writes the replies until the connection fails, and drops those after that.
func (c *hostConn) writeReplies() {
	for reply := range c.replies {
		if _, err := c.conn.Write(reply); err != nil {
			break
		}
	}
	for range c.replies {
	}
}

// readCommands reads the commands until the connection ends.
func (c *hostConn) readCommands() {
	reader := redcon.NewReader(c.conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			c.host.Do(func() { c.fail(OutcomeClientGone) })
			return
		}
		args := make([]string, len(command.Args))
		for i, arg := range command.Args {
			args[i] = string(arg)
		}
		c.host.Do(func() { c.receive(args) })
	}
}

// fail ends a connection and the commands on it.
func (c *hostConn) fail(outcome Outcome) {
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
	h.recordLoad()
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

// execute answers a command at once, or begins a call.
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
		if h.AnswersHealthChecks {
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
	if !wellFormed(args) {
		h.log.MalformedCommands++
		c.sendReply([]byte("-SYNTAX\r\n"))
		return
	}
	c.beginCall(args)
}

// wellFormed reports whether the arguments are those of a call.
func wellFormed(args []string) bool {
	return (len(args) == 4 || len(args) == 5) && len(args[1]) == 16 && args[2] != "" && ArgumentValue(args[3], "c") != ""
}

// beginCall logs a call and sets the time of its end, or rejects it.
func (c *command) beginCall(args []string) {
	h := c.conn.host
	c.Command = Command{
		ReceivedAt: actor.Now(),
		ID:         args[2],
		Customer:   args[1],
		Class:      ArgumentValue(args[3], "c"),
		Connection: c.conn.number,
		InFlight:   float64(h.inFlight),
	}
	factor := h.slowdown / h.Speed
	if h.warming {
		factor *= h.Model.warmUpFactor(time.Duration(c.ReceivedAt - h.startedAt))
	}
	c.ResponseTime = h.Model.ResponseTime(c.ID, c.Class, c.InFlight, factor)
	c.index = len(h.log.Commands)
	h.log.Commands = append(h.log.Commands, c.Command)
	if h.Model.MaxInFlight > 0 && h.inFlight >= h.Model.MaxInFlight {
		h.log.BusyReplies++
		c.end(OutcomeBusy, []byte("-BUSY\r\n"))
		return
	}
	h.inFlight++
	h.recordLoad()
	if h.hanging {
		h.withheld = append(h.withheld, c)
		return
	}
	c.timer = h.After(c.ResponseTime, c.finish)
}

// finish ends a command whose response time is over, unless the host hangs.
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
		c.end(OutcomeErrored, []byte("-ERR failed\r\n"))
		return
	}
	reply := redcon.AppendArray(nil, 3)
	reply = redcon.AppendBulkString(reply, "of "+c.ID+" by "+h.ID)
	reply = redcon.AppendNull(reply)
	if len(h.ReportFields) > 0 {
		reply = redcon.AppendBulkString(reply, h.loadReport())
	} else {
		reply = redcon.AppendNull(reply)
	}
	c.end(OutcomeSucceeded, reply)
}

// end ends a command and logs its outcome; reply is nil if nobody is left to read it.
func (c *command) end(outcome Outcome, reply []byte) {
	h := c.conn.host
	if c.index >= 0 && c.Outcome == "" {
		c.Outcome = outcome
		entry := &h.log.Commands[c.index]
		entry.Outcome = outcome
		entry.EndedAt = actor.Now()
		if outcome != OutcomeBusy {
			h.inFlight--
			h.recordLoad()
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
			conn.fail(OutcomeClientGone)
			return
		}
	}
}
