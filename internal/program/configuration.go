package program

import (
	"errors"
	"log/slog"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/node"
	"ravensill/internal/subscriber"
)

// following is what a gateway that follows the publishers of the configuration has beside its node.
type following struct {
	platform node.Platform
	cfg      *config.Config       // that the gateway starts with
	live     *config.Live         // belongs to the subscriber once that runs
	held     *configsync.Document // the version that the gateway starts with
	node     *node.Node
}

// newFollowing reads the last good version on disk. The gateway starts with it, whether a publisher is up or not; where
// there is none, or it can't be taken any more, with what the file says.
func newFollowing(platform node.Platform, file *config.Config) *following {
	held, err := subscriber.Load(file.Configuration.Dir)
	if err != nil { // torn or altered: the document is the last one before that
		slog.Warn("configuration_damaged",
			"dir", file.Configuration.Dir,
			"version", held.Version(),
			"error", err,
		)
	}
	if held.Version() > 0 {
		cfg, live, err := config.Restore(file, held.Changes())
		if err == nil {
			slog.Info("configuration_loaded",
				"version", held.Version(),
				"plans", len(cfg.Plans),
				"classes", len(cfg.Classes),
				"members", cfg.Membership.Count,
			)
			return &following{platform: platform, cfg: cfg, live: live, held: held}
		}
		logRefused(held.Version(), err)
	}
	return &following{platform: platform, cfg: file, live: config.NewLive(file), held: configsync.NewDocument("")}
}

// logRefused tells of a held version as the subscriber does of one that comes.
func logRefused(version configsync.Version, err error) {
	resource := configsync.Resource("")
	var refused *config.ResourceError
	if errors.As(err, &refused) {
		resource = refused.Resource
	}
	slog.Warn("configuration_refused", "version", version, "resource", resource, "reason", err)
}

// start runs the subscriber; the returned function ends it.
func (f *following) start() (end func()) {
	dir := f.cfg.Configuration.Dir
	incarnation, err := subscriber.NextIncarnation(dir, f.platform.Clock)
	if err != nil {
		slog.Warn("incarnation_save_failed", "dir", dir, "incarnation", incarnation, "error", err)
	}
	s := subscriber.Start(subscriber.Config{
		Publishers:  f.cfg.Configuration.Publishers,
		Dir:         dir,
		Member:      f.cfg.Membership.Index,
		Name:        f.cfg.Name,
		Incarnation: incarnation,
		Clock:       f.platform.Clock,
		Sockets:     f.platform.Sockets,
		Apply:       f.apply,
	}, f.held)
	f.held = nil // the subscriber's from now on
	return s.Close
}

// apply puts an update in force and returns once it is. It runs on the subscriber's goroutine.
func (f *following) apply(update *configsync.Update, whole bool) error {
	revision, err := f.live.Apply(update.Changes, whole)
	if err != nil {
		return err
	}
	err = f.node.Apply(update.To, revision)
	if errors.Is(err, node.ErrEnded) {
		return subscriber.ErrStopped
	}
	return err
}
