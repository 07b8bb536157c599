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
	publishedLog         configsync.LogID = "scale"
	historyVersions                       = 1000           // deltas that the publisher keeps
	historyBytes                          = 16 << 20       // limit of the deltas that the publisher keeps
	publisherName                         = "10.254.0.1:1" // in the configuration; nothing connects to it
	maxChangesPerVersion                  = 1000           // keeps the version within the size of one command
)

// publisher emulates the publishers of the configuration. It makes versions by the rules of package configsync, but
// has no raft, connections or heartbeats.
type publisher struct {
	state *configsync.State
}

// newPublisher returns a publisher whose configuration is empty.
func newPublisher() (*publisher, error) {
	p := &publisher{configsync.NewState(configsync.HistoryLimits{Deltas: historyVersions, Bytes: historyBytes})}
	create, err := configsync.EncodeCommand(&configsync.Command{CreateLog: publishedLog})
	if err == nil {
		_, err = p.state.Apply(create)
	}
	return p, err
}

// publish makes a new version from changes and returns the delta that leads to it.
func (p *publisher) publish(changes []configsync.Change) (*configsync.Delta, error) {
	command := configsync.NewCommand(publishedLog, p.state.Document().Version(), changes)
	text, err := configsync.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	return p.state.Apply(text)
}

// snapshot returns the current version as the frames that a publisher sends to a gateway that has no version yet.
func (p *publisher) snapshot() (frames [][]byte) {
	for _, part := range configsync.SplitSnapshot(p.state.Document()) {
		frames = append(frames, configsync.Encode(part))
	}
	return frames
}

// initialChanges returns the changes that create all quota plans and request classes of the deployment.
func (d Deployment) initialChanges() (changes []configsync.Change, err error) {
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

// planChange returns the nth configuration change, which sets a new rate of a quota plan. Successive changes take one
// plan after another.
func (d Deployment) planChange(n int) (configsync.Change, error) {
	plan := d.plan(n % d.Plans)
	plan.Rate = planRate * (1 + float64(n+1)/float64(d.Plans)/1000)
	text, err := json.Marshal(plan)
	return configsync.Change{Resource: configsync.PlanPrefix + configsync.Resource(plan.Name), Value: text}, err
}

// startFollower has the gateway follow a publisher by the rules of package configsync, beginning without a version.
func (h *HollowGateway) startFollower() {
	h.live = config.NewLive(h.configuration)
	h.follower = configsync.NewFollower(configsync.FollowerConfig{Member: h.Index(), Name: h.configuration.Name,
		Publishers: len(h.configuration.Configuration.Publishers)}, configsync.NewDocument(""), rand.New(rand.NewPCG(1, 1)))
	h.follower.Connected(time.Unix(0, h.now))
}

// ReceiveVersion receives frames from a publisher and applies the versions that they complete. It fails where a
// gateway would drop the connection and reconnect.
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
			return fmt.Errorf("gateway %d rejected a frame of the publisher: %s: %w", h.Index(), decision.Cause, decision.Err)
		case configsync.Apply:
			if err := h.applyUpdate(decision.Update); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyUpdate puts an update in force. It encodes what the gateway would store on disk, to measure that cost, and
// discards it.
func (h *HollowGateway) applyUpdate(update *configsync.Update) error {
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

// sendToAll has all gateways receive frames from the publisher, and returns the first error of the run.
func (s *Simulation) sendToAll(frames ...[]byte) error {
	for _, h := range s.gateways {
		s.processEvent(WorkConfiguration, h, func() { s.setError(h.ReceiveVersion(frames...)) })
	}
	return s.err
}

// startPublisher publishes the whole configuration and sends it to all gateways as a snapshot.
func (s *Simulation) startPublisher() (err error) {
	if s.publisher, err = newPublisher(); err != nil {
		return err
	}
	document, err := s.initialChanges()
	if err != nil {
		return err
	}
	for changes := range slices.Chunk(document, maxChangesPerVersion) {
		if _, err := s.publisher.publish(changes); err != nil {
			return err
		}
	}
	return s.sendToAll(s.publisher.snapshot()...)
}

// publishPlanChange changes one quota plan and sends the delta to all gateways.
func (s *Simulation) publishPlanChange() error {
	change, err := s.planChange(s.publishedChanges)
	if err != nil {
		return err
	}
	s.publishedChanges++
	delta, err := s.publisher.publish([]configsync.Change{change})
	if err != nil {
		return err
	}
	return s.sendToAll(configsync.Encode(delta))
}
