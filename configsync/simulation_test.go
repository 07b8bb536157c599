package configsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The simulation joins the state, senders and followers of this package by frames over a network that loses, repeats
// and reorders them, with publishers that lag behind and gateways that restart with and without their file.

const (
	simulationStep = 100 * time.Millisecond
	badResource    = Resource("classes/bad") // gateways refuse a document that has it
	inForceWithin  = 12 * time.Second
)

type simulation struct {
	t          *rapid.T
	random     *rand.Rand
	now        time.Time
	log        [][]byte // commands
	publishers []*simPublisher
	gateways   []*simGateway
	lastID     ConnectionID
}

type simPublisher struct {
	state   *State
	sender  *Sender
	applied int  // commands of the log
	lagging bool // applies nothing and has no contact with a quorum
	silent  bool // accepts connections and frames, and sends nothing
}

type simGateway struct {
	follower    *Follower
	incarnation uint64
	highest     Version // the version in force, which never decreases unless the disk is lost
	file        []byte
	update      *Update // not accepted or refused yet
	link        *simLink
}

type simLink struct {
	publisher   *simPublisher
	id          ConnectionID
	toFollower  [][]byte
	toPublisher [][]byte
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: start, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
	limits := HistoryLimits{Deltas: 4, Bytes: 1 << 20}
	for range 3 {
		state := NewState(limits)
		sender := NewSender(state, SenderLimits{SnapshotRate: 20000, SnapshotBurst: 2000})
		s.publishers = append(s.publishers, &simPublisher{state: state, sender: sender})
	}
	for range 4 {
		s.gateways = append(s.gateways, &simGateway{})
		s.restart(len(s.gateways)-1, false)
	}
	s.log = append(s.log, marshal(&Command{CreateLog: testLog}))
	return s
}

// restart starts a gateway from its file, if it has one.
func (s *simulation) restart(index int, withFile bool) {
	g := s.gateways[index]
	document := NewDocument("")
	if !withFile {
		g.file = nil
	}
	if g.file != nil {
		var err error
		document, err = DecodeFile(g.file)
		if err != nil {
			s.t.Fatal(err)
		}
	}
	if document.Version() < g.highest && withFile {
		s.t.Fatalf("gateway %d starts at version %d after %d", index, document.Version(), g.highest)
	}
	g.highest = document.Version()
	g.incarnation++
	config := FollowerConfig{Member: index, Incarnation: g.incarnation, Publishers: len(s.publishers)}
	g.follower = NewFollower(config, document, s.random)
	g.update = nil
	g.link = nil // the publisher isn't notified, as after a crash
}

// propose publishes changes at a publisher with the complete log, as the leader has it.
func (s *simulation) propose(changes []Change) {
	leader := NewState(testLimits)
	for _, text := range s.log {
		leader.Apply(text)
	}
	command := NewCommand(testLog, leader.Document().Version(), changes)
	if _, err := leader.Apply(marshal(command)); err == nil {
		s.log = append(s.log, marshal(command))
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(simulationStep)
	for _, p := range s.publishers {
		p.sender.SetHasQuorum(!p.lagging)
		for !p.lagging && p.applied < len(s.log) {
			p.state.Apply(s.log[p.applied])
			p.applied++
		}
	}
	for _, g := range s.gateways {
		s.stepGateway(g)
		s.stepPublisher(g.link)
	}
}

func (s *simulation) stepGateway(g *simGateway) {
	s.finishUpdate(g)
	if g.link == nil {
		s.connect(g)
		return
	}
	link := g.link
	frames := link.toFollower
	link.toFollower = nil
	for _, frame := range frames {
		message, err := Decode(frame)
		if err != nil {
			s.t.Fatal(err)
		}
		if !s.execute(g, g.follower.Receive(s.now, message)) {
			return
		}
	}
	s.execute(g, g.follower.Tick(s.now))
}

func (s *simulation) connect(g *simGateway) {
	if s.now.Before(g.follower.NextAttempt()) {
		return
	}
	s.lastID++
	g.link = &simLink{publisher: s.publishers[g.follower.Publisher()], id: s.lastID}
	for _, message := range g.follower.Connected(s.now) {
		g.link.toPublisher = append(g.link.toPublisher, Encode(message))
	}
}

// execute executes a decision of the follower and reports whether the connection is still open.
func (s *simulation) execute(g *simGateway, decision Decision) bool {
	switch decision.Kind {
	case Reconnect:
		g.link.publisher.sender.Disconnect(g.link.id)
		g.link = nil
		return false
	case Apply:
		g.update = decision.Update
	}
	if decision.Reply != nil {
		g.link.toPublisher = append(g.link.toPublisher, Encode(decision.Reply))
	}
	return true
}

// finishUpdate accepts or refuses the update of the step before.
func (s *simulation) finishUpdate(g *simGateway) {
	update := g.update
	if update == nil {
		return
	}
	g.update = nil
	var answer Message
	if hasBad(update.Changes) {
		answer = g.follower.Refuse(s.now, badResource, "bad")
	} else {
		answer = g.follower.Accept(s.now)
		s.putInForce(g, update)
	}
	if g.link != nil {
		g.link.toPublisher = append(g.link.toPublisher, Encode(answer))
	}
}

func hasBad(changes []Change) bool {
	for i := range changes {
		if changes[i].Resource == badResource && !changes[i].IsRemoval() {
			return true
		}
	}
	return false
}

func (s *simulation) putInForce(g *simGateway, update *Update) {
	version := g.follower.Document().Version()
	if version <= g.highest {
		s.t.Fatalf("version %d in force after %d", version, g.highest)
	}
	g.highest = version
	if update.Delta != nil && g.file != nil {
		g.file = append(g.file, EncodeFileDelta(update.Delta)...)
	} else {
		g.file = EncodeFile(g.follower.Document())
	}
}

func (s *simulation) stepPublisher(link *simLink) {
	if link == nil || link.publisher.silent {
		return
	}
	frames := link.toPublisher
	link.toPublisher = nil
	for _, frame := range frames {
		message, err := Decode(frame)
		if err != nil {
			s.t.Fatal(err)
		}
		if !s.receive(link, message) {
			return
		}
	}
	for {
		action := link.publisher.sender.Next(s.now, link.id)
		if action.Frame != nil {
			link.toFollower = append(link.toFollower, action.Frame)
		}
		if action.Close {
			link.publisher.sender.Disconnect(link.id)
		}
		if action.Frame == nil || action.Close {
			return
		}
	}
}

// receive passes a message to the sender and reports whether the sender accepts it. The follower isn't notified if not.
func (s *simulation) receive(link *simLink, message Message) bool {
	sender := link.publisher.sender
	if hello, isHello := message.(*Hello); isHello {
		_, err := sender.Connect(s.now, link.id, hello)
		return err == nil
	}
	if err := sender.Receive(s.now, link.id, message); err != nil {
		sender.Disconnect(link.id)
		return false
	}
	return true
}

// disturb drops, repeats or reorders frames in flight to a follower or a publisher.
func (s *simulation) disturb(t *rapid.T) {
	link := s.drawGateway(t).link
	if link == nil {
		return
	}
	frames := &link.toFollower
	if rapid.Bool().Draw(t, "to the publisher") {
		frames = &link.toPublisher
	}
	if len(*frames) == 0 {
		return
	}
	i := rapid.IntRange(0, len(*frames)-1).Draw(t, "frame")
	switch rapid.SampledFrom([]string{"lose", "repeat", "swap"}).Draw(t, "disturbance") {
	case "lose":
		*frames = append((*frames)[:i:i], (*frames)[i+1:]...)
	case "repeat":
		*frames = append(*frames, (*frames)[i])
	case "swap":
		(*frames)[0], (*frames)[i] = (*frames)[i], (*frames)[0]
	}
}

func (s *simulation) drawGateway(t *rapid.T) *simGateway {
	return rapid.SampledFrom(s.gateways).Draw(t, "gateway")
}

// converge runs the simulation for a duration, after which the latest version must be in force everywhere.
func (s *simulation) converge(within time.Duration) {
	for end := s.now.Add(within); s.now.Before(end); {
		s.step()
	}
	want := NewState(testLimits)
	for _, text := range s.log {
		want.Apply(text)
	}
	for i, g := range s.gateways {
		got := g.follower.Document()
		if got.Version() != want.Document().Version() || got.Digest() != want.Document().Digest() {
			s.t.Fatalf("gateway %d has version %d, not %d: %+v",
				i, got.Version(), want.Document().Version(), g.follower.Counters())
		}
		stored, err := DecodeFile(g.file)
		if err != nil || describe(stored) != describe(got) {
			s.t.Fatalf("gateway %d has another file: %v", i, err)
		}
	}
}

// Versions never decrease, and once all faults are over, also if one publisher then falls silent or loses its quorum,
// the latest version is in force everywhere within 12 s.
func TestFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) { s.propose(drawChanges(t)) },
			"publish bad": func(t *rapid.T) {
				s.propose([]Change{set(badResource, "x")})
			},
			"publish good": func(t *rapid.T) { s.propose([]Change{remove(badResource)}) },
			"pass":         func(t *rapid.T) { s.step() },
			"pass long": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "steps") {
					s.step()
				}
			},
			"disturb": s.disturb,
			"lag": func(t *rapid.T) {
				p := rapid.SampledFrom(s.publishers).Draw(t, "publisher")
				p.lagging = !p.lagging
			},
			"fall silent": func(t *rapid.T) {
				p := rapid.SampledFrom(s.publishers).Draw(t, "publisher")
				p.silent = !p.silent
			},
			"restart": func(t *rapid.T) {
				s.restart(rapid.IntRange(0, len(s.gateways)-1).Draw(t, "gateway"), rapid.Bool().Draw(t, "with file"))
			},
			"cut": func(t *rapid.T) {
				g := s.drawGateway(t)
				if g.link != nil {
					g.follower.ConnectionLost(s.now)
					g.link = nil
				}
			},
		})
		for _, p := range s.publishers {
			p.lagging = false
			p.silent = false
		}
		s.propose([]Change{remove(badResource)})
		s.propose([]Change{set("limits", "healed")})
		s.converge(inForceWithin)
		lost := rapid.SampledFrom(s.publishers).Draw(t, "lost")
		if rapid.Bool().Draw(t, "silent") {
			lost.silent = true
		} else {
			lost.lagging = true
		}
		s.propose([]Change{set("limits", "one publisher lost")})
		s.converge(inForceWithin)
	})
}
