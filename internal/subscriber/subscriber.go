// Package subscriber receives the configuration for a gateway from one of the publishers. It owns the connection to
// that publisher, and the file with the last version put in force, from which the gateway starts the next time. Package
// configsync decides which publisher to follow and how to handle each message. While no publisher can be reached, the
// version in force stays in force.
package subscriber

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ravensill/configsync"
	"ravensill/internal/clock"
	"ravensill/internal/config"
	"ravensill/internal/sockets"
)

const (
	statusLogInterval = 10 * time.Second // time between log lines with the subscriber's status
	lossLogInterval   = time.Minute      // time between log lines about lost connections with the same cause
	sendTimeout       = 3 * time.Second  // longest time to write one message to a publisher
)

// ErrStopped is returned by Config.Apply if the gateway is shutting down. The version is then neither in force nor
// refused, and the publisher gets no answer to it.
var ErrStopped = errors.New("the gateway is shutting down")

// Config identifies the gateway to its publishers and says how a Subscriber stores and applies versions.
type Config struct {
	Publishers  []netip.AddrPort // TCP addresses, at least one
	Dir         string           // directory for the copy of the latest version; created if needed
	Member      int              // member index of the gateway
	Name        string           // name of the gateway in the status of the publishers
	Incarnation uint64           // incarnation of this start of the gateway, from NextIncarnation
	Clock       clock.Clock      // nil: clock.System
	Sockets     sockets.System   // nil: sockets.Kernel

	disk fileSystem // nil: osFileSystem

	// Apply puts an update in force, and returns once it is. It is called on the subscriber's goroutine, one update at
	// a time. If complete is true, the changes are the complete content, which replaces that of the gateway's own
	// file; otherwise they are relative to the version in force. If Apply returns an error other than ErrStopped, the
	// subscriber refuses the version to the publisher, and the version before must still be in force. A
	// *config.ResourceError names the resource at fault.
	Apply func(update *configsync.Update, complete bool) error
}

// Subscriber receives versions from the publishers and applies them, from Start until Close. Its methods may be called
// from any goroutine.
type Subscriber struct {
	cfg      Config
	ctx      context.Context // canceled by Close
	cancel   context.CancelFunc
	running  sync.WaitGroup // the goroutine of run
	status   atomic.Pointer[Status]
	bytesIn  atomic.Int64 // bytes received from publishers since the start
	bytesOut atomic.Int64 // bytes sent to publishers since the start

	// The fields below belong to the goroutine of run.
	follower       *configsync.Follower
	store          *store
	latestVersion  configsync.Version             // latest version that a publisher has announced; 0: none is known
	publisher      string                         // the address of the publisher connected to; empty: none
	statusLoggedAt time.Time                      // time of the latest log line with the status
	lossLoggedAt   map[configsync.Cause]time.Time // time of the latest log line about a lost connection
}

// Start starts a subscriber for a gateway that has document in force: the document that Load returned if the gateway
// could apply it, and otherwise configsync.NewDocument(""). The subscriber takes ownership of the document. Start
// doesn't wait for a connection.
func Start(cfg Config, document *configsync.Document) *Subscriber {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.disk == nil {
		cfg.disk = osFileSystem{}
	}
	if cfg.Sockets == nil {
		cfg.Sockets = sockets.Kernel{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscriber{
		cfg:            cfg,
		ctx:            ctx,
		cancel:         cancel,
		store:          newStore(cfg.Dir, cfg.disk),
		statusLoggedAt: time.Now(),
		lossLoggedAt:   map[configsync.Cause]time.Time{},
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.follower = configsync.NewFollower(configsync.FollowerConfig{
		Member:      cfg.Member,
		Name:        cfg.Name,
		Incarnation: cfg.Incarnation,
		Publishers:  len(cfg.Publishers),
	}, document, random)
	s.updateStatus()
	s.running.Go(s.run)
	return s
}

// Close closes the connection and waits until the subscriber's goroutine has ended. If Config.Apply is in progress,
// Close waits until it returns.
func (s *Subscriber) Close() {
	s.cancel()
	s.running.Wait()
}

// run follows one publisher after another until Close.
func (s *Subscriber) run() {
	defer s.store.close()
	for s.waitUntil(s.follower.NextAttempt()) {
		s.connectAndFollow()
		s.store.retryFailedSave(s.follower.Document())
		s.updateStatus()
		s.logStatus()
	}
}

// waitUntil waits until a time and returns true. It returns false as soon as Close is called.
func (s *Subscriber) waitUntil(at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.ctx.Err() == nil
	case <-s.ctx.Done():
		return false
	}
}

// connectAndFollow connects to the publisher that the follower has chosen, and follows it until the connection ends.
func (s *Subscriber) connectAndFollow() {
	address := s.cfg.Publishers[s.follower.Publisher()].String()
	conn, err := s.cfg.Sockets.Dial(s.ctx, &net.Dialer{Timeout: configsync.ConnectTimeout}, address)
	if err != nil {
		s.logConnectionLost(address, s.follower.ConnectionLost(time.Now()), err)
		return
	}
	c := newConnection(conn, s.cfg.Clock, &s.bytesIn, &s.bytesOut)
	defer c.close()
	s.publisher = address
	s.follow(c)
	s.publisher = ""
}

// follow exchanges messages with the publisher, and applies the versions that it sends, until the connection has to end
// or Close is called.
func (s *Subscriber) follow(c *connection) {
	for _, message := range s.follower.Connected(time.Now()) {
		c.send(message)
	}
	for {
		decision, err := s.nextDecision(c)
		if s.ctx.Err() != nil {
			return
		}
		if decision.Reply != nil {
			c.send(decision.Reply)
		}
		if decision.Kind == configsync.Reconnect {
			s.logConnectionLost(s.publisher, decision, err)
			return
		}
		if decision.Kind == configsync.Apply && !s.applyUpdate(c, decision.Update) {
			return
		}
		s.store.retryFailedSave(s.follower.Document())
		s.updateStatus()
		s.logStatus()
	}
}

// nextDecision waits for a message, the end of the connection or the follower's deadline, and returns the decision on
// that event with the error that belongs to it, if any. Messages that were received already are handled before the
// deadline, since the deadline may have passed while a version was being applied.
func (s *Subscriber) nextDecision(c *connection) (configsync.Decision, error) {
	select {
	case r := <-c.results:
		return s.handleRead(r)
	default:
	}
	deadline, _ := s.follower.Deadline()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-c.results:
		return s.handleRead(r)
	case <-timer.C:
		if c.hasNewBytes() {
			s.follower.ReceivedBytes(c.lastReadTime(time.Now()))
		}
		return s.follower.Tick(time.Now()), nil
	case <-s.ctx.Done():
		return configsync.Decision{}, nil
	}
}

// handleRead passes a message, or the error that ended the connection, to the follower.
func (s *Subscriber) handleRead(r readResult) (configsync.Decision, error) {
	now := time.Now()
	if r.malformed {
		return s.follower.ReceiveMalformed(now, r.err), r.err
	}
	if r.err != nil {
		return s.follower.ConnectionLost(now), r.err
	}
	if heartbeat, ok := r.message.(*configsync.Heartbeat); ok {
		s.latestVersion = heartbeat.Latest
	}
	decision := s.follower.Receive(now, r.message)
	return decision, decision.Err
}

// applyUpdate puts an update in force, saves it and acknowledges it, or refuses it if the gateway can't apply it. It
// returns false if the gateway is shutting down, after Close was called.
func (s *Subscriber) applyUpdate(c *connection, update *configsync.Update) bool {
	complete := update.From == 0
	err := s.cfg.Apply(update, complete)
	if errors.Is(err, ErrStopped) {
		<-s.ctx.Done()
		return false
	}
	now := time.Now()
	s.follower.ReceivedBytes(now)
	if err != nil {
		s.refuseUpdate(c, now, update, err)
		return true
	}
	accepted := s.follower.Accept(now)
	// The version is saved before it is acknowledged: a gateway that is killed must not restart with an earlier version
	// than it has acknowledged.
	s.store.save(s.follower.Document(), update.Delta)
	c.send(accepted)
	return true
}

// refuseUpdate logs that the gateway can't apply an update, and reports it to the publisher. If err names a resource,
// the reason is err without that name.
func (s *Subscriber) refuseUpdate(c *connection, now time.Time, update *configsync.Update, err error) {
	resource := configsync.Resource("")
	reason := err.Error()
	var fault *config.ResourceError
	if errors.As(err, &fault) {
		resource = fault.Resource
		reason = strings.TrimPrefix(reason, string(resource)+": ")
	}
	slog.Warn("configuration_refused", "version", update.To, "resource", resource, "reason", reason)
	c.send(s.follower.Refuse(now, resource, reason))
}

// logConnectionLost logs that a connection ended or that a publisher can't be reached, at most once per lossLogInterval
// for each cause. It logs nothing once Close is called. A nil err means that there are no details beyond the cause.
func (s *Subscriber) logConnectionLost(address string, decision configsync.Decision, err error) {
	now := time.Now()
	loggedAt, logged := s.lossLoggedAt[decision.Cause]
	if logged && now.Sub(loggedAt) < lossLogInterval || s.ctx.Err() != nil {
		return
	}
	s.lossLoggedAt[decision.Cause] = now
	text := ""
	if err != nil {
		text = err.Error()
	}
	slog.Warn("configuration_publisher_lost", "publisher", address, "cause", decision.Cause, "error", text)
}
