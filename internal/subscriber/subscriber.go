// Package subscriber is the task in a gateway that follows the publishers of the configuration: it owns the connection and
// the last good version on disk. Which publisher it follows, and what it makes of each message, are package configsync's
// rules. It needs no publisher: without one the gateway stays with the version that it has.
package subscriber

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
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
	sendTimeout       = 3 * time.Second  // of a message to the publisher; all are short
)

// ErrStopped is what Apply returns when the gateway is about to end: the version is neither in force nor refused.
var ErrStopped = errors.New("the gateway has ended")

// Config says whom to follow and for whom.
type Config struct {
	Publishers  []netip.AddrPort // TCP, one or more
	Dir         string           // of the last good version; made if it is not there
	Member      int              // member index
	Name        string
	Incarnation uint64         // grows with each start of the gateway: NextIncarnation
	Clock       clock.Clock    // nil: clock.System
	Sockets     sockets.System // nil: sockets.Kernel

	disk files // nil: diskFiles

	// Apply puts an update in force and returns once it is; it is called on the subscriber's goroutine. Where whole is set,
	// the changes are the whole content, which replaces that of the gateway's own file; else they lead on from the version
	// before. On an error but ErrStopped the version is refused, and the one before stays in force; a *config.ResourceError
	// names the resource at fault.
	Apply func(update *configsync.Update, whole bool) error
}

// Subscriber follows the publishers until Close.
type Subscriber struct {
	cfg    Config
	ctx    context.Context // done: closing
	cancel context.CancelFunc
	ended  chan struct{}
	status atomic.Pointer[Status]
	in     atomic.Int64 // bytes
	out    atomic.Int64 // bytes

	// The fields below belong to the goroutine.
	follower  *configsync.Follower
	store     *store
	latest    configsync.Version // of the publisher followed last
	publisher string             // the one connected to; empty: none
	lineAt    time.Time
	causes    map[configsync.Cause]time.Time // of the last log line
}

// Start follows the publishers from the version that is held: what Load gave, where the gateway could take it, or
// configsync.NewDocument(""). The document belongs to the subscriber from then on.
func Start(cfg Config, held *configsync.Document) *Subscriber {
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
		ended:  make(chan struct{}),
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
	}, held, random)
	s.updateStatus()
	go s.run()
	return s
}

// Close ends the connection and waits for the goroutine. An Apply under way has to return.
func (s *Subscriber) Close() {
	s.cancel()
	<-s.ended
}

// run connects again and again.
func (s *Subscriber) run() {
	defer close(s.ended)
	defer s.store.close()
	for s.waitUntil(s.follower.NextAttempt()) {
		s.connect()
		s.store.retry(s.follower.Document())
		s.updateStatus()
		s.logLine()
	}
}

// waitUntil tells whether the time has come before the end of the subscriber.
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

// connect follows one publisher until the connection ends.
func (s *Subscriber) connect() {
	address := s.cfg.Publishers[s.follower.Publisher()].String()
	conn, err := s.cfg.Sockets.Dial(s.ctx, &net.Dialer{Timeout: configsync.ConnectTimeout}, address)
	if err != nil {
		s.logLost(address, s.follower.Lost(time.Now()), err)
		return
	}
	l := newLink(conn, s.cfg.Clock, &s.in, &s.out)
	defer l.close()
	s.publisher = address
	s.follow(l)
	s.publisher = ""
}

// follow exchanges messages with the publisher until the connection has to end.
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
		s.logLine()
	}
}

// next waits for an event and gives what the rules make of it. What has come already goes before the deadline: while a
// version was being put in force, nothing was looked at.
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

// receive takes in a message, or the end of the connection.
func (s *Subscriber) receive(r received) (configsync.Decision, error) {
	now := time.Now()
	if r.malformed {
		return s.follower.Malformed(now, r.err), r.err
	}
	if r.err != nil {
		return s.follower.Lost(now), r.err
	}
	if heartbeat, ok := r.message.(*configsync.Heartbeat); ok {
		s.latest = heartbeat.Latest
	}
	decision := s.follower.Receive(now, r.message)
	return decision, decision.Err
}

// apply has an update put in force and keeps it on disk, or refuses it. It is false where the gateway ends.
func (s *Subscriber) apply(l *link, update *configsync.Update) bool {
	whole := update.From == 0
	err := s.cfg.Apply(update, whole)
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
	s.store.save(s.follower.Document(), update.Delta) // first: a gateway that is killed in between must not hold less than it told
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

// logLost tells of the end of a connection, or of a publisher that can't be reached, each cause once in a while.
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
