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
	// firstListTimeout is how long the start waits for the discovery agent's first answer. Clients are then accepted
	// with the endpoint list of the configuration.
	firstListTimeout = 2 * time.Second

	// maxPendingReadTime is how long a batch of decisions may be delayed to read endpoint updates that the connection
	// to the agent has already received.
	maxPendingReadTime = 100 * time.Millisecond
)

// endpointWatch is one watch of the endpoint list at the discovery agent. Results of a watch that is no longer
// Node.watch are ignored.
type endpointWatch struct {
	cancel      context.CancelFunc
	pendingRead discovery.PendingRead // reports whether the connection has unread updates
	skipUntil   gateway.Time          // time until which decisions don't wait for unread updates
}

// startWatch starts to watch the endpoint list, unless the module polls it with WatchEndpoints. From its start on, the
// gateway counts as notified of every drain that the agent knows, and the list in the configuration may be outdated.
// Clients are therefore accepted only once the agent has answered, or after firstListTimeout.
func (n *Node) startWatch() {
	if n.cfg.Limits.PollEndpoints {
		n.firstListDone = true
		return
	}
	n.WatchEndpoints()
	time.AfterFunc(firstListTimeout, func() {
		n.runOnLoop(func() {
			if !n.firstListDone {
				slog.Warn("endpoint_list_timeout", "version", n.endpointList.Version)
			}
			n.firstListDone = true
		})
	})
}

// WatchEndpoints implements gateway.Actions. It starts a watch for versions of the list later than the current one,
// and cancels the previous watch.
func (n *Node) WatchEndpoints() {
	n.stopWatch()
	ctx, stop := context.WithCancel(context.Background())
	w := &endpointWatch{cancel: stop}
	n.watch = w
	options := discovery.WatchOptions{
		System:       n.system,
		Address:      n.cfg.DiscoveryAddress,
		AfterVersion: n.endpointList.Version,
		Timeouts:     discovery.NewTimeouts(n.cfg.Limits.PollEndpoints),
		Pending:      &w.pendingRead,
		OnReceived:   func() { n.runIfCurrentWatch(w, n.watchReceived) },
		OnList:       func(list string) { n.runIfCurrentWatch(w, func() { n.updateEndpoints(list, false) }) },
	}
	n.readers.Go(func() {
		err := discovery.Watch(ctx, options)
		stop()
		n.runOnLoop(func() { n.watchEnded(w, err) })
	})
}

// stopWatch cancels the current watch, if there is one.
func (n *Node) stopWatch() {
	if n.watch != nil {
		n.watch.cancel()
	}
}

// runIfCurrentWatch has the loop run f, unless w has been replaced by another watch by then.
func (n *Node) runIfCurrentWatch(w *endpointWatch, f func()) {
	n.runOnLoop(func() {
		if n.watch == w {
			f()
		}
	})
}

// watchReceived handles data received on the current watch: a lost watch is restored.
func (n *Node) watchReceived() {
	if n.watchLost {
		slog.Info("endpoint_watch_restored")
	}
	n.watchLost = false
}

// readPendingUpdates waits, before the module decides on events, until the current watch has passed on the updates that
// its connection has received. Otherwise a process that was stalled, or that has much to read, would send requests to
// endpoints that were drained long before.
func (n *Node) readPendingUpdates() {
	if len(n.events) == 0 || n.watch == nil || n.now() < n.watch.skipUntil {
		return
	}
	for deadline := n.now().Add(maxPendingReadTime); n.watch.pendingRead.Pending(); {
		if now := n.now(); now >= deadline { // a constant stream of updates must not delay every batch
			n.watch.skipUntil = now.Add(time.Second)
			break
		}
		select {
		case f := <-n.inbox:
			n.recoverPanics("loop", f)
		case <-time.After(time.Millisecond):
		}
	}
	n.runQueued() // applies the updates
}

// Reload applies a configuration file that was read again after a SIGHUP. If it could not be read, err says why, and
// nothing changes. Only the discovery address and the capacity of the pool take effect while the gateway runs; the
// endpoint list, requests and connections are kept. Any goroutine may call it.
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
		) // changes of other keys take effect at the next start
		if cfg.Pool != nil {
			n.quota.setCapacity(cfg.Pool.Serial, cfg.Pool.Capacity)
		}
		if cfg.DiscoveryAddress == n.cfg.DiscoveryAddress {
			return
		}
		n.cfg.DiscoveryAddress = cfg.DiscoveryAddress
		if n.watch != nil { // at once: the gateway counts as notified of every drain that the new agent knows
			n.watchLost = false
			n.WatchEndpoints()
		}
	})
}

// watchEnded handles the failure of a watch. It starts another one after discovery.WatchRetryDelay, unless the module
// polls the list and decides itself when to ask again.
func (n *Node) watchEnded(w *endpointWatch, err error) {
	if n.watch != w { // another watch has replaced it
		return
	}
	if !n.watchLost { // logged once, not for each failed attempt to restore it
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

// updateEndpoints applies a full endpoint list or a delta in the form of the agent's answers. cached means that the
// text is the list in the configuration. Invalid text is logged and ignored.
func (n *Node) updateEndpoints(text string, cached bool) {
	n.firstListDone = n.firstListDone || !cached
	previous := n.endpointList.Version
	kind, endpoints, invalid, err := n.endpointList.Decode(text, n.transport.SetAddress)
	if err != nil {
		n.rejectedLists++
		slog.Warn("endpoint_list_rejected", "error", err, "count", n.rejectedLists)
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
	n.observer.updateHosts(endpoints)
	for i := range endpoints {
		n.updateTransport(&endpoints[i])
	}
	event := gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind, Endpoints: endpoints}
	n.listEvents = append(n.listEvents, event)
}

// updateTransport has the transport send nothing new to an endpoint that is draining or gone, or to a process that
// another one has replaced. This takes effect before the module decides on the update.
func (n *Node) updateTransport(endpoint *gateway.Endpoint) {
	if endpoint.State == gateway.Running {
		n.transport.SetStartTime(endpoint.Host, endpoint.StartedAt)
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
