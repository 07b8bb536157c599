package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ravensill/configsync"
	"ravensill/gateway"
	"ravensill/internal/config"
)

const (
	publishedLog    configsync.LogID = "scale"
	historyVersions                  = 1000
	historyBytes                     = 16 << 20
	publisherName                    = "10.254.0.1:1"
	changesAtOnce                    = 1000 // in one version, so that it fits a command
)

// publisher emulates the publishers of the configuration. It makes versions by package configsync's rules, without
// raft, connections and heartbeats.
type publisher struct {
	state *configsync.State
}

// newPublisher returns a publisher of an empty configuration.
func newPublisher() (*publisher, error) {
	p := &publisher{configsync.NewState(configsync.HistoryLimits{Deltas: historyVersions, Bytes: historyBytes})}
	create, err := configsync.EncodeCommand(&configsync.Command{CreateLog: publishedLog})
	if err == nil {
		_, err = p.state.Apply(create)
	}
	return p, err
}

// publish makes a version and returns its delta.
func (p *publisher) publish(changes []configsync.Change) (*configsync.Delta, error) {
	command := configsync.NewCommand(publishedLog, p.state.Document().Version(), changes)
	text, err := configsync.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	return p.state.Apply(text)
}

// snapshot returns the document as the frames that are sent to a gateway without a version.
func (p *publisher) snapshot() (frames [][]byte) {
	for _, part := range configsync.SplitSnapshot(p.state.Document()) {
		frames = append(frames, configsync.Encode(part))
	}
	return frames
}

// document returns all content as the first version: all quota plans and request classes.
func (d Deployment) document() (changes []configsync.Change, err error) {
	add := func(prefix configsync.Resource, name string, value any) {
		text, encodeErr := json.Marshal(value)
		if encodeErr != nil {
			err = encodeErr
		}
		changes = append(changes, configsync.Change{Resource: prefix + configsync.Resource(name), Value: text})
	}
	for _, plan := range d.plans() {
		add(configsync.PlanPrefix, plan.Name, plan)
	}
	for _, class := range d.classes() {
		add(configsync.ClassPrefix, class.Name, class)
	}
	return changes, err
}

// planChange returns the nth change, which sets another rate of one quota plan after another.
func (d Deployment) planChange(n int) (configsync.Change, error) {
	plan := d.plan(n % d.Plans)
	plan.Rate = planRate * (1 + float64(n+1)/float64(d.Plans)/1000)
	text, err := json.Marshal(plan)
	return configsync.Change{Resource: configsync.PlanPrefix + configsync.Resource(plan.Name), Value: text}, err
}

// follow has the gateway apply versions, by the rules of package configsync and with the decoded configuration.
func (h *HollowGateway) follow() {
	h.live = config.NewLive(h.configuration)
	h.follower = configsync.NewFollower(configsync.FollowerConfig{Member: h.Index(), Name: h.configuration.Name,
		Publishers: len(h.configuration.Configuration.Publishers)}, configsync.NewDocument(""), rand.New(rand.NewPCG(1, 1)))
	h.follower.Connected(time.Unix(0, h.now))
}

// ReceiveVersion receives frames of a publisher and puts the version in them in force.
func (h *HollowGateway) ReceiveVersion(frames ...[]byte) error {
	for _, frame := range frames {
		h.ConfigurationIn += len(frame)
		message, err := configsync.Decode(frame)
		if err != nil {
			return err
		}
		decision := h.follower.Receive(time.Unix(0, h.now), message)
		switch decision.Kind {
		case configsync.Reconnect:
			return fmt.Errorf("gateway %d: %s: %w", h.Index(), decision.Cause, decision.Err)
		case configsync.Apply:
			if err := h.putInForce(decision.Update); err != nil {
				return err
			}
		}
	}
	return nil
}

// putInForce applies an update. What the gateway would store on disk is encoded and dropped.
func (h *HollowGateway) putInForce(update *configsync.Update) error {
	revision, err := h.live.Apply(update.Changes, update.From == 0)
	if err != nil {
		return err
	}
	h.module.Reconfigure(gateway.Time(h.now), &revision.Update)
	acknowledge := h.follower.Accept(time.Unix(0, h.now))
	if update.Delta != nil {
		configsync.EncodeFileDelta(update.Delta)
	} else {
		configsync.EncodeFile(h.follower.Document())
	}
	h.ConfigurationOut += len(configsync.Encode(acknowledge))
	return nil
}

// publishAll sends frames to all gateways.
func (s *Simulation) publishAll(frames ...[]byte) error {
	for _, h := range s.gateways {
		s.process(WorkConfiguration, h, func() { s.setError(h.ReceiveVersion(frames...)) })
	}
	return s.err
}

// startFollowing has all gateways follow a publisher, beginning with a snapshot of all content.
func (s *Simulation) startFollowing() (err error) {
	if s.publisher, err = newPublisher(); err != nil {
		return err
	}
	document, err := s.document()
	if err != nil {
		return err
	}
	for changes := range slices.Chunk(document, changesAtOnce) {
		if _, err := s.publisher.publish(changes); err != nil {
			return err
		}
	}
	return s.publishAll(s.publisher.snapshot()...)
}

// changePlan publishes a change of one quota plan.
func (s *Simulation) changePlan() error {
	change, err := s.planChange(s.planChanges)
	if err != nil {
		return err
	}
	s.planChanges++
	delta, err := s.publisher.publish([]configsync.Change{change})
	if err != nil {
		return err
	}
	return s.publishAll(configsync.Encode(delta))
}
