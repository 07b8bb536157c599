package node

import (
	"context"
	"log/slog"
	"time"

	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/internal/discovery"
)

const (
	firstListWait = 2 * time.Second        // for the first list, before clients are accepted without it
	maxReadDelay  = 100 * time.Millisecond // of a decision, for updates that are received but unread
)

// watch is one attempt to follow the endpoint list. Only what the newest one receives counts.
type watch struct {
	stop      context.CancelFunc
	feed      discovery.PendingRead
	skipUntil gateway.Time // its unread updates delay no decision before
}

// startWatch watches the endpoint list, unless the module polls it. What the agent knows counts as notified
// from the first moment on, and the list of the configuration may be old: clients are accepted once the agent
// has answered, or after firstListWait.
func (n *Node) startWatch() {
	if n.cfg.Limits.PollEndpoints {
		n.listAnswered = true
		return
	}
	n.WatchEndpoints()
	time.AfterFunc(firstListWait, func() {
		n.runOnLoop(func() {
			if !n.listAnswered {
				slog.Warn("endpoint_list_timeout", "version", n.endpointList.Version)
			}
			n.listAnswered = true
		})
	})
}

// WatchEndpoints implements gateway.Actions: it watches the list from the latest version on. A watch that still
// runs ends.
func (n *Node) WatchEndpoints() {
	n.stopWatch()
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{stop: stop}
	n.watch = w
	options := discovery.WatchOptions{
		System:       n.system,
		Address:      n.cfg.DiscoveryAddress,
		AfterVersion: n.endpointList.Version,
		Timeouts:     discovery.NewTimeouts(n.cfg.Limits.PollEndpoints),
		Pending:      &w.feed,
		OnReceived:   func() { n.runForWatch(w, n.watchReceived) },
		OnList:       func(list string) { n.runForWatch(w, func() { n.updateEndpoints(list, false) }) },
	}
	n.readers.Go(func() {
		err := discovery.Watch(ctx, options)
		stop()
		n.runOnLoop(func() { n.watchEnded(w, err) })
	})
}

// stopWatch ends the newest watch, if there is one.
func (n *Node) stopWatch() {
	if n.watch != nil {
		n.watch.stop()
	}
}

// runForWatch has the loop run f if the watch is still the newest one then.
func (n *Node) runForWatch(w *watch, f func()) {
	n.runOnLoop(func() {
		if n.watch == w {
			f()
		}
	})
}

// watchReceived records that the newest watch has received something.
func (n *Node) watchReceived() {
	if n.watchLost {
		slog.Info("endpoint_watch_restored")
	}
	n.watchLost = false
}

// readPendingList has the newest watch pass on what its connection has received, before the module decides. A
// process that was stalled or has much to read would otherwise send requests to endpoints that were drained
// long before.
func (n *Node) readPendingList() {
	if len(n.events) == 0 || n.watch == nil || n.now() < n.watch.skipUntil {
		return
	}
	for limit := n.now().Add(maxReadDelay); n.watch.feed.Pending(); {
		if now := n.now(); now >= limit { // updates without end must not delay batch after batch
			n.watch.skipUntil = now.Add(time.Second)
			break
		}
		select {
		case f := <-n.work:
			n.recoverPanics("loop", f)
		case <-time.After(time.Millisecond):
		}
	}
	n.runQueued() // applies what was passed on
}

// Reload handles a SIGHUP. cfg is the configuration file as it is now, err why it could not be read. Only the
// address of discovery changes while the gateway runs; its list, requests and connections stay.
func (n *Node) Reload(cfg *config.Config, err error) {
	n.runOnLoop(func() {
		if err != nil {
			slog.Error("reload_failed", "error", err)
			return
		}
		slog.Info("reloaded",
			"discovery", cfg.DiscoveryAddress,
			"version", n.endpointList.Version,
			"other_keys_changed", n.cfg.StartupKeysHash != cfg.StartupKeysHash,
		) // other keys apply from the next start on
		if cfg.Pool != nil {
			n.quota.setCapacity(cfg.Pool.Serial, cfg.Pool.Capacity)
		}
		if cfg.DiscoveryAddress == n.cfg.DiscoveryAddress {
			return
		}
		n.cfg.DiscoveryAddress = cfg.DiscoveryAddress
		if n.watch != nil { // at once: what the new agent knows counts as notified
			n.watchLost = false
			n.WatchEndpoints()
		}
	})
}

// watchEnded handles the end of a watch. If the module polls the list, it decides when to watch again.
func (n *Node) watchEnded(w *watch, err error) {
	if n.watch != w { // it was replaced
		return
	}
	if !n.watchLost { // once, not for each attempt
		slog.Warn("endpoint_watch_lost", "error", err, "version", n.endpointList.Version)
	}
	n.watchLost = true
	if n.cfg.Limits.PollEndpoints {
		n.listEvents = append(n.listEvents, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListUnavailable})
		return
	}
	time.AfterFunc(discovery.WatchRetryDelay, func() {
		n.runOnLoop(func() {
			if n.watch == w {
				n.WatchEndpoints()
			}
		})
	})
}

// updateEndpoints applies a list or changes of it. cached says that it is the list of the configuration.
func (n *Node) updateEndpoints(text string, cached bool) {
	n.listAnswered = n.listAnswered || !cached
	previous := n.endpointList.Version
	kind, endpoints, invalid, err := n.endpointList.Decode(text, n.transport.SetAddress)
	if err != nil {
		n.droppedLists++
		slog.Warn("endpoint_list_rejected", "error", err, "count", n.droppedLists)
		return
	}
	if invalid != nil {
		slog.Warn("endpoint_invalid", "error", invalid, "version", n.endpointList.Version)
	}
	if n.endpointList.Version < previous {
		slog.Warn("endpoint_list_stale", "version", n.endpointList.Version, "previous", previous)
	}
	if cached {
		kind = gateway.ListCached
	}
	n.observer.endpointsListed(endpoints)
	for i := range endpoints {
		n.updateTransport(&endpoints[i])
	}
	event := gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind, Endpoints: endpoints}
	n.listEvents = append(n.listEvents, event)
}

// updateTransport starts nothing new at an endpoint that is draining or gone, before the module decides on its update.
func (n *Node) updateTransport(endpoint *gateway.Endpoint) {
	if endpoint.State == gateway.Running {
		return
	}
	slog.Info("endpoint_state",
		"id", n.endpointList.ID(endpoint.Host),
		"state", endpoint.State,
		"version", n.endpointList.Version,
	)
	if endpoint.State == gateway.Draining {
		n.transport.Drain(endpoint.Host)
		return
	}
	n.transport.Remove(endpoint.Host)
	n.endpointList.Forget(endpoint.Host)
}
