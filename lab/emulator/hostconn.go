package emulator

import (
	"net"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/lab/actor"
)

// hostConn is one connection from a gateway to a host. Its fields belong to the host's actor.
type hostConn struct {
	host    *Host
	number  int // counted from 1 over all accepted connections of the host
	conn    net.Conn
	reader  *arrivalReader    // of conn; for readCommands
	replies chan []byte       // for writeReplies
	queue   []*pendingCommand // unanswered commands in the order of arrival, in which they must be answered
}

// pendingCommand is a command that was not answered yet. Its embedded Command is filled in only for calls.
type pendingCommand struct {
	Command
	index   int // in the host's log; -1: not logged
	conn    *hostConn
	reply   []byte      // nil until the command has ended
	timer   *time.Timer // fires when the response time is over
	counted bool        // whether it is in the host's inFlight

	arrivedAt int64 // see Command.ArrivedAt
}

// writeReplies writes the replies. After a write has failed, it discards the remaining ones until the channel is
// closed.
func (c *hostConn) writeReplies() {
	for reply := range c.replies {
		if _, err := c.conn.Write(reply); err != nil {
			break
		}
	}
	for range c.replies {
	}
}

// readCommands passes the commands to the actor until the connection ends.
func (c *hostConn) readCommands() {
	reader := redcon.NewReader(c.reader)
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
		arrivedAt := c.reader.arrivedAt
		c.host.Do(func() { c.receive(args, arrivedAt) })
	}
}

// fail resets the connection and ends its unanswered commands with an outcome.
func (c *hostConn) fail(outcome Outcome) {
	h := c.host
	if !h.conns[c] {
		return
	}
	delete(h.conns, c)
	for _, command := range c.queue {
		if command.reply == nil {
			command.endWith(outcome, nil)
		}
	}
	close(c.replies)
	resetConn(c.conn)
	h.recordLoad()
}

// receive queues a command that arrived at the given time, and starts to execute it.
func (c *hostConn) receive(args []string, arrivedAt int64) {
	if !c.host.conns[c] {
		return
	}
	newCommand := &pendingCommand{conn: c, index: -1, arrivedAt: arrivedAt}
	c.queue = append(c.queue, newCommand)
	newCommand.execute(args)
}

// execute starts a call, and answers any other command at once.
func (c *pendingCommand) execute(args []string) {
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
	if !isWellFormedCall(args) {
		h.log.MalformedCommands++
		c.sendReply([]byte("-SYNTAX\r\n"))
		return
	}
	c.beginCall(args)
}

// isWellFormedCall reports whether the arguments are those of a call as gateways send it.
func isWellFormedCall(args []string) bool {
	return (len(args) == 4 || len(args) == 5) && len(args[1]) == 16 && args[2] != "" && ArgumentValue(args[3], "c") != ""
}

// beginCall logs a call and sets a timer for its response time. A host with MaxInFlight calls in flight turns it away
// at once, and others as the model says; a hanging host withholds it.
func (c *pendingCommand) beginCall(args []string) {
	h := c.conn.host
	c.Command = Command{
		ArrivedAt:  c.arrivedAt,
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
		c.turnAway()
		return
	}
	if after, turnedAway := h.Model.TurnsAway(c.ID); turnedAway {
		c.timer = h.After(after, c.turnAway)
		return
	}
	c.counted = true
	h.inFlight++
	h.recordLoad()
	if h.hanging {
		h.withheldCommands = append(h.withheldCommands, c)
		return
	}
	c.timer = h.After(c.ResponseTime, c.finishCall)
}

// turnAway ends a call with BUSY, unless it has ended.
func (c *pendingCommand) turnAway() {
	if c.reply != nil || c.Outcome != "" {
		return
	}
	c.conn.host.log.BusyReplies++
	c.endWith(OutcomeBusy, []byte("-BUSY\r\n"))
}

// finishCall ends a call whose response time is over with a value or an error. A hanging host withholds it.
func (c *pendingCommand) finishCall() {
	h := c.conn.host
	if c.reply != nil || c.Outcome != "" {
		return
	}
	if h.hanging {
		h.withheldCommands = append(h.withheldCommands, c)
		return
	}
	if h.Model.Fails(c.ID) {
		c.endWith(OutcomeErrored, []byte("-ERR failed\r\n"))
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
	c.endWith(OutcomeSucceeded, reply)
}

// endWith ends a command, logs its outcome if it is a call, and sends the reply unless that is nil, because the
// connection or the host is gone.
func (c *pendingCommand) endWith(outcome Outcome, reply []byte) {
	h := c.conn.host
	if c.index >= 0 && c.Outcome == "" {
		c.Outcome = outcome
		entry := &h.log.Commands[c.index]
		entry.Outcome = outcome
		entry.EndedAt = actor.Now()
		if c.counted {
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

// sendReply sets the reply of a command. Then it sends all replies of the connection that have no unanswered command
// before them.
func (c *pendingCommand) sendReply(reply []byte) {
	conn := c.conn
	c.reply = reply
	for len(conn.queue) > 0 && conn.queue[0].reply != nil {
		select {
		case conn.replies <- conn.queue[0].reply:
			conn.queue = conn.queue[1:]
		default: // the gateway does not read its replies
			conn.fail(OutcomeClientGone)
			return
		}
	}
}
