// Package subscriber follows the publishers of the configuration for a gateway: it owns the connection to a publisher
// and the last good version on disk. Package configsync decides which publisher to follow and how to handle each
// message. Without a publisher the gateway keeps its version.
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
	lineInterval      = 10 * time.Second // between log lines on the subscriber's state
	causeLineInterval = time.Minute      // between log lines on lost connections of one cause
	sendTimeout       = 3 * time.Second  // of a message to a publisher
)

// ErrStopped is returned by Config.Apply when the gateway is shutting down: the version is neither in force nor
// refused.
var ErrStopped = errors.New("the gateway has ended")

// Config configures a Subscriber.
type Config struct {
	Publishers  []netip.AddrPort // TCP, one or more
	Dir         string           // of the last good version; created if needed
	Member      int              // member index
	Name        string
	Incarnation uint64         // of this start of the gateway: NextIncarnation
	Clock       clock.Clock    // nil: clock.System
	Sockets     sockets.System // nil: sockets.Kernel

	disk files // nil: diskFiles

	// Apply puts an update in force, and returns when it is. It is called on the subscriber's goroutine. If complete
	// is set, the changes are the complete content, which replaces that of the gateway's own file; otherwise they
	// lead on from the version in force. On any error but ErrStopped the version is refused, and the one in force
	// stays; a *config.ResourceError names the resource at fault.
	Apply func(update *configsync.Update, complete bool) error
}

// Subscriber follows the publishers until Close.
type Subscriber struct {
	cfg    Config
	ctx    context.Context // canceled by Close
	cancel context.CancelFunc
	task   sync.WaitGroup
	status atomic.Pointer[Status]
	in     atomic.Int64 // bytes
	out    atomic.Int64 // bytes

	// The fields below belong to the goroutine of run.
	follower  *configsync.Follower
	store     *store
	latest    configsync.Version             // as the publisher followed last announced it
	publisher string                         // the address connected to; empty: none
	lineAt    time.Time                      // of the latest status line
	causes    map[configsync.Cause]time.Time // of the latest log line on a lost connection
}

// Start starts to follow the publishers from the document in force: the one that Load returned, if the gateway could
// apply it, or configsync.NewDocument(""). The subscriber takes ownership of the document.
func Start(cfg Config, document *configsync.Document) *Subscriber {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.disk == nil {
		cfg.disk = diskFiles{}
	}
	if cfg.Sockets == nil {
		cfg.Sockets = sockets.Kernel{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscriber{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		store:  newStore(cfg.Dir, cfg.disk),
		lineAt: time.Now(),
		causes: map[configsync.Cause]time.Time{},
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.follower = configsync.NewFollower(configsync.FollowerConfig{
		Member:      cfg.Member,
		Name:        cfg.Name,
		Incarnation: cfg.Incarnation,
		Publishers:  len(cfg.Publishers),
	}, document, random)
	s.updateStatus()
	s.task.Go(s.run)
	return s
}

// Close closes the connection and waits until the goroutine has ended, for which a Config.Apply in progress has to
// return.
func (s *Subscriber) Close() {
	s.cancel()
	s.task.Wait()
}

// run follows one publisher after another until Close.
func (s *Subscriber) run() {
	defer s.store.close()
	for s.waitUntil(s.follower.NextAttempt()) {
		s.connect()
		s.store.retry(s.follower.Document())
		s.updateStatus()
		s.logStatus()
	}
}

// waitUntil waits for a time and returns true, or false if Close is called before.
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

// connect connects to a publisher and follows it until the connection ends.
func (s *Subscriber) connect() {
	address := s.cfg.Publishers[s.follower.Publisher()].String()
	conn, err := s.cfg.Sockets.Dial(s.ctx, &net.Dialer{Timeout: configsync.ConnectTimeout}, address)
	if err != nil {
		s.logLost(address, s.follower.ConnectionLost(time.Now()), err)
		return
	}
	l := newLink(conn, s.cfg.Clock, &s.in, &s.out)
	defer l.close()
	s.publisher = address
	s.follow(l)
	s.publisher = ""
}

// follow exchanges messages with the publisher until the connection ends.
func (s *Subscriber) follow(l *link) {
	for _, message := range s.follower.Connected(time.Now()) {
		l.send(message)
	}
	for {
		decision, err := s.next(l)
		if s.ctx.Err() != nil {
			return
		}
		if decision.Reply != nil {
			l.send(decision.Reply)
		}
		if decision.Kind == configsync.Reconnect {
			s.logLost(s.publisher, decision, err)
			return
		}
		if decision.Kind == configsync.Apply && !s.apply(l, decision.Update) {
			return
		}
		s.store.retry(s.follower.Document())
		s.updateStatus()
		s.logStatus()
	}
}

// next waits for an event and returns the decision about it. Messages received already precede the deadline, which
// may have passed while a version was being applied.
func (s *Subscriber) next(l *link) (configsync.Decision, error) {
	select {
	case r := <-l.received:
		return s.receive(r)
	default:
	}
	deadline, _ := s.follower.Deadline()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-l.received:
		return s.receive(r)
	case <-timer.C:
		if l.readSince() {
			s.follower.ReceivedBytes(l.lastRead(time.Now()))
		}
		return s.follower.Tick(time.Now()), nil
	case <-s.ctx.Done():
		return configsync.Decision{}, nil
	}
}

// receive handles a message, or the end of the connection.
func (s *Subscriber) receive(r received) (configsync.Decision, error) {
	now := time.Now()
	if r.malformed {
		return s.follower.ReceiveMalformed(now, r.err), r.err
	}
	if r.err != nil {
		return s.follower.ConnectionLost(now), r.err
	}
	if heartbeat, ok := r.message.(*configsync.Heartbeat); ok {
		s.latest = heartbeat.Latest
	}
	decision := s.follower.Receive(now, r.message)
	return decision, decision.Err
}

// apply puts an update in force and saves it, or refuses it. It returns false if the gateway is shutting down.
func (s *Subscriber) apply(l *link, update *configsync.Update) bool {
	complete := update.From == 0
	err := s.cfg.Apply(update, complete)
	if errors.Is(err, ErrStopped) {
		<-s.ctx.Done()
		return false
	}
	now := time.Now()
	s.follower.ReceivedBytes(now)
	if err != nil {
		s.refuse(l, now, update, err)
		return true
	}
	accepted := s.follower.Accept(now)
	// A gateway that is killed must not restart with an earlier version than it acknowledged, so the version is saved
	// first.
	s.store.save(s.follower.Document(), update.Delta)
	l.send(accepted)
	return true
}

func (s *Subscriber) refuse(l *link, now time.Time, update *configsync.Update, err error) {
	resource := configsync.Resource("")
	reason := err.Error()
	var fault *config.ResourceError
	if errors.As(err, &fault) {
		resource = fault.Resource
		reason = strings.TrimPrefix(reason, string(resource)+": ")
	}
	slog.Warn("configuration_refused", "version", update.To, "resource", resource, "reason", reason)
	l.send(s.follower.Refuse(now, resource, reason))
}

// logLost logs the end of a connection or an unreachable publisher, at most once per causeLineInterval for each cause.
func (s *Subscriber) logLost(address string, decision configsync.Decision, err error) {
	now := time.Now()
	last, logged := s.causes[decision.Cause]
	if logged && now.Sub(last) < causeLineInterval || s.ctx.Err() != nil {
		return
	}
	s.causes[decision.Cause] = now
	text := ""
	if err != nil {
		text = err.Error()
	}
	slog.Warn("configuration_publisher_lost", "publisher", address, "cause", decision.Cause, "error", text)
}
