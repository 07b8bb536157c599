package node

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/internal/discovery"
)

const (
	firstListWait = 2 * time.Second        // the first list is waited for at most so long before clients are taken in
	maxReadDelay  = 100 * time.Millisecond // news that lie unread hold decisions up at most so long
)

// watch is one try to follow the list; only what the newest brings counts.
type watch struct {
	stop      context.CancelFunc
	feed      discovery.PendingRead
	skipUntil gateway.Time // what lies in it holds no decision up until then
}

// startWatch asks for the list, unless that is up to the module. What discovery's agent has counts as notified
// from the first moment on, and the list of the configuration may be old: clients are taken in once the agent
// has answered, which it does at once, or is silent for so long that discovery must be down.
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

// WatchEndpoints watches the list from the version had last. A watch that still runs ends.
func (n *Node) WatchEndpoints() {
	if n.watch != nil {
		n.watch.stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{stop: stop}
	n.watch = w
	after, addr := n.endpointList.Version, n.cfg.Discovery
	go func() {
		newest := func(f func()) { // of what the watch brings, in the loop
			n.runOnLoop(func() {
				if n.watch == w {
					f()
				}
			})
		}
		err := discovery.Watch(ctx, n.system, addr, after, discovery.NewTimeouts(n.cfg.Limits.PollEndpoints), &w.feed, func() {
			newest(func() {
				if n.watchLost {
					slog.Info("endpoint_watch_restored")
				}
				n.watchLost = false
			})
		}, func(list string) { newest(func() { n.updateEndpoints(list, false) }) })
		stop()
		n.runOnLoop(func() { n.watchEnded(w, err) })
	}()
}

// readPendingList lets the newest watch hand on what lies in its connection before the module decides. A process
// that stood still, or has much to read, would else send requests on past a drain that was notified long before.
func (n *Node) readPendingList() {
	if len(n.events) == 0 || n.watch == nil || n.now() < n.watch.skipUntil {
		return
	}
	for limit := n.now().Add(maxReadDelay); n.watch.feed.Pending(); {
		if now := n.now(); now >= limit { // it never rests: requests must not wait for it batch after batch
			n.watch.skipUntil = now.Add(time.Second)
			break
		}
		select {
		case f := <-n.work:
			n.recoverPanics("loop", f)
		case <-time.After(time.Millisecond):
		}
	}
	n.runQueued() // what was handed on is there by now
}

// Reload takes in the configuration file as it is now: it read it as cfg, or failed to. Only where discovery is
// can change while the gateway runs; its list, requests and connections stay as they are.
func (n *Node) Reload(cfg *config.Config, err error) {
	n.runOnLoop(func() {
		if err != nil {
			slog.Error("reload_failed", "error", err)
			return
		}
		slog.Info("reloaded",
			"discovery", cfg.Discovery,
			"version", n.endpointList.Version,
			"other_keys_changed", n.cfg.FixedKeysHash != cfg.FixedKeysHash,
		) // these count from the next start on
		if cfg.Pool != nil {
			n.quota.setCapacity(cfg.Pool.Serial, cfg.Pool.Capacity)
		}
		if cfg.Discovery == n.cfg.Discovery {
			return
		}
		n.cfg.Discovery = cfg.Discovery
		if n.watch != nil { // at once: the old address answers no more, and what the new one has counts as notified
			n.watchLost = false
			n.WatchEndpoints()
		}
	})
}

// watchEnded takes in the end of a watch. Where the list only comes when asked for, the module asks.
func (n *Node) watchEnded(w *watch, err error) {
	if n.watch != w { // another has taken its place
		return
	}
	if !n.watchLost { // once, not with every try
		slog.Warn("endpoint_watch_lost", "error", err, "version", n.endpointList.Version)
	}
	n.watchLost = true
	if n.cfg.Limits.PollEndpoints {
		n.listEvents = append(n.listEvents, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListUnavailable})
		return
	}
	time.AfterFunc(discovery.RewatchDelay, func() {
		n.runOnLoop(func() {
			if n.watch == w {
				n.WatchEndpoints()
			}
		})
	})
}

// updateEndpoints takes in a list or changes of it.
func (n *Node) updateEndpoints(text string, old bool) {
	n.listAnswered = n.listAnswered || !old
	had := n.endpointList.Version
	kind, list, odd, err := n.endpointList.Decode(text, func(host uint32, addr netip.AddrPort) { n.transport.SetAddress(host, addr) })
	if err != nil {
		n.droppedLists++
		slog.Warn("endpoint_list_rejected", "error", err, "count", n.droppedLists)
		return
	}
	if odd != nil {
		slog.Warn("endpoint_invalid", "error", odd, "version", n.endpointList.Version)
	}
	if n.endpointList.Version < had {
		slog.Warn("endpoint_list_stale", "version", n.endpointList.Version, "previous", had)
	}
	if old {
		kind = gateway.ListCached
	}
	n.observer.endpointsListed(list)
	for _, l := range list {
		if l.State != gateway.Running {
			slog.Info("endpoint_state",
				"id", n.endpointList.ID(l.Host),
				"state", l.State,
				"version", n.endpointList.Version,
			)
		}
		if l.State == gateway.Draining {
			n.transport.Drain(l.Host)
		}
		if l.State == gateway.Gone {
			n.transport.Remove(l.Host)
			n.endpointList.Forget(l.Host)
		}
	}
	n.listEvents = append(n.listEvents, gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind, Endpoints: list})
}
