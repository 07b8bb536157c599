package hostileclients

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"ravensill/internal/resp"
)

// Behavior is what a client does on each of its connections.
type Behavior struct {
	Name         string
	write        func(ctx context.Context, c *client) // writes to one connection until that ends or all is written
	readsNothing bool                                 // whether the client never reads
	leaves       bool                                 // whether the client closes the connection once all is written
}

// client is one connection of a hostile client.
type client struct {
	conn       net.Conn
	number     int        // of the client in its crowd
	connection int        // number of the client's earlier connections
	random     *rand.Rand // of the client
	crowdSeed  uint64     // of its crowd
	sent       int        // requests sent on the connection
}

// Sizes of what hostile clients send.
const (
	largeBodyBytes  = 63 << 10 // nearly the largest bulk string
	manyFieldsCount = 100_000  // elements of an array that is far too long
	floodBatch      = 64       // commands that are written at once
	burstCommands   = 400      // commands before a client leaves
)

const (
	slowWriteTime = 1800 * time.Millisecond // for one command
	slowPieces    = 60                      // writes of one command
)

// Behaviors returns all behaviors.
func Behaviors() []Behavior {
	return append(CrowdBehaviors(), FloodBehaviors()...)
}

// CrowdBehaviors returns the behaviors that take memory for each connection.
func CrowdBehaviors() []Behavior {
	return []Behavior{
		{Name: "idle", write: func(context.Context, *client) {}},
		{Name: "slow writer", write: writeSlowly},
		{Name: "half a large request", write: writeHalf},
		{Name: "half a command of many words", write: writeHalfOfManyWords},
		{Name: "very many short fields", write: writeManyFields},
		{Name: "length too large and many bytes", write: writeTooLarge},
		{Name: "large requests at full speed", write: writeLargeRequests},
		{Name: "large requests, nothing read", write: writeLargeRequests, readsNothing: true},
		{Name: "small requests, nothing read", write: writeRequests, readsNothing: true},
		{Name: "leaves behind a burst", write: writeBurst, leaves: true},
	}
}

// FloodBehaviors returns the behaviors that take processor time for each command.
func FloodBehaviors() []Behavior {
	return []Behavior{
		{Name: "health checks at full speed", write: writePings},
		{Name: "malformed commands at full speed", write: writeMalformed},
		{Name: "unsound requests at full speed", write: writeUnsound},
		{Name: "requests of ever new customers", write: writeRequests},
		{Name: "requests of ever new customers, nothing read", write: writeRequests, readsNothing: true},
		{Name: "requests for more units than the plan grants", write: writeTooManyUnits},
	}
}

// command encodes words as a RESP command.
func command(words ...string) string {
	text := resp.AppendArrayHeader(nil, len(words))
	for _, word := range words {
		text = resp.AppendBulk(text, word)
	}
	return string(text)
}

// nextID returns an id that no other request has.
func (c *client) nextID() string {
	c.sent++
	return fmt.Sprintf("%s-%d", c.key(), c.sent)
}

// key returns the text by which the ids of the connection's requests begin, up to the last dash.
func (c *client) key() string {
	return fmt.Sprintf("%s%x-%d-%d", IDPrefix, c.crowdSeed, c.number, c.connection)
}

// ConnectionKey returns the key in Counts.LeftAt of the connection on which a request was sent.
func ConnectionKey(requestID string) string {
	return requestID[:max(strings.LastIndexByte(requestID, '-'), 0)]
}

// nextCustomer returns a customer that no other request names, as far as the seed draws it.
func (c *client) nextCustomer() string { return fmt.Sprintf("%016x", c.random.Uint64N(1<<33)) }

// read returns a small request that is safe to repeat.
func (c *client) read() string {
	return command("CALL.GET", c.nextCustomer(), c.nextID(), "c=lookup,t=team,d=1000,units=1,spread=1,first=0")
}

// large returns a request with a large body.
func (c *client) large() string {
	id := c.nextID()
	arguments := "c=order,t=team,d=1000,k=" + id + ",units=1,spread=1,first=0"
	return command("CALL.POST", c.nextCustomer(), id, arguments, strings.Repeat("b", largeBodyBytes))
}

// send writes a text, and reports whether the connection took it.
func (c *client) send(text string) bool {
	_, err := c.conn.Write([]byte(text))
	return err == nil
}

func writeSlowly(ctx context.Context, c *client) {
	text := c.large()
	for i := range slowPieces {
		if ctx.Err() != nil || !c.send(text[i*len(text)/slowPieces:(i+1)*len(text)/slowPieces]) {
			return
		}
		sleep(ctx, slowWriteTime/slowPieces)
	}
}

func writeHalf(_ context.Context, c *client) {
	text := c.large()
	c.send(text[:len(text)-100])
}

func writeHalfOfManyWords(_ context.Context, c *client) {
	word := fmt.Sprintf("$%d\r\n%s\r\n", 8<<10, strings.Repeat("w", 8<<10))
	c.send("*16\r\n" + strings.Repeat(word, 15))
}

func writeManyFields(_ context.Context, c *client) {
	c.send(fmt.Sprintf("*%d\r\n", manyFieldsCount) + strings.Repeat("$1\r\na\r\n", manyFieldsCount))
}

func writeTooLarge(_ context.Context, c *client) {
	if c.send("*2\r\n$60000000\r\n") {
		c.send(strings.Repeat("v", 4<<20))
	}
}

// repeatUntilEnd writes texts until the connection or ctx ends.
func repeatUntilEnd(ctx context.Context, c *client, next func() string) {
	for ctx.Err() == nil {
		if !c.send(next()) {
			return
		}
	}
}

// batch returns the texts of several commands.
func batch(next func() string) string {
	var text strings.Builder
	for range floodBatch {
		text.WriteString(next())
	}
	return text.String()
}

func writeLargeRequests(ctx context.Context, c *client) { repeatUntilEnd(ctx, c, c.large) }

func writeRequests(ctx context.Context, c *client) {
	repeatUntilEnd(ctx, c, func() string { return batch(c.read) })
}

func writeBurst(ctx context.Context, c *client) {
	for range burstCommands / floodBatch {
		if ctx.Err() != nil || !c.send(batch(c.read)) {
			return
		}
	}
	sleep(ctx, time.Duration(c.random.Int64N(int64(20*time.Millisecond))))
}

func writePings(ctx context.Context, c *client) {
	pings := strings.Repeat(command("PING"), floodBatch)
	repeatUntilEnd(ctx, c, func() string { return pings })
}

func writeMalformed(ctx context.Context, c *client) {
	text := command("PING") + strings.Repeat(command("CALL.GET", "x"), 15)
	repeatUntilEnd(ctx, c, func() string { return text })
}

// writeUnsound writes requests that name a class or plan that does not exist, a new one each time.
func writeUnsound(ctx context.Context, c *client) {
	repeatUntilEnd(ctx, c, func() string {
		return batch(func() string {
			name := c.random.Uint64()
			arguments := fmt.Sprintf("c=class%x,t=plan%x,d=1000,units=1,spread=1,first=0", name, name)
			return command("CALL.GET", c.nextCustomer(), c.nextID(), arguments)
		})
	})
}

func writeTooManyUnits(ctx context.Context, c *client) {
	repeatUntilEnd(ctx, c, func() string {
		return batch(func() string {
			return command("CALL.GET", c.nextCustomer(), c.nextID(), "c=lookup,t=team,d=1000,units=9999999,spread=1,first=0")
		})
	})
}
