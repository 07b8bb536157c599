package program

import (
	"errors"
	"log/slog"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/node"
	"ravensill/internal/subscriber"
)

// following is the state of a gateway that follows the publishers of the configuration.
type following struct {
	platform node.Platform
	cfg      *config.Config       // with which the gateway starts
	live     *config.Live         // belongs to the subscriber once that runs
	stored   *configsync.Document // with which the gateway starts; nil once the subscriber has it
	node     *node.Node
}

// newFollowing reads the version stored on disk. The gateway starts with it, whether a publisher is up or not, or with
// its file alone if there is no stored version or that is invalid.
func newFollowing(platform node.Platform, file *config.Config) *following {
	stored, err := subscriber.Load(file.Configuration.Dir)
	if err != nil { // the file is torn or altered, and the document is the one before that
		slog.Warn("configuration_damaged",
			"dir", file.Configuration.Dir,
			"version", stored.Version(),
			"error", err,
		)
	}
	if stored.Version() > 0 {
		cfg, live, err := config.Restore(file, stored.Changes())
		if err == nil {
			slog.Info("configuration_loaded",
				"version", stored.Version(),
				"plans", len(cfg.Plans),
				"classes", len(cfg.Classes),
				"members", cfg.Membership.Count,
			)
			return &following{platform: platform, cfg: cfg, live: live, stored: stored}
		}
		logRejected(stored.Version(), err)
	}
	return &following{
		platform: platform,
		cfg:      file,
		live:     config.NewLive(file),
		stored:   configsync.NewDocument(""),
	}
}

// logRejected logs that a stored version is invalid, in the form in which the subscriber logs it of a received one.
func logRejected(version configsync.Version, err error) {
	resource := configsync.Resource("")
	var resourceError *config.ResourceError
	if errors.As(err, &resourceError) {
		resource = resourceError.Resource
	}
	slog.Warn("configuration_refused", "version", version, "resource", resource, "reason", err)
}

// start starts the subscriber and returns the function that ends it.
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
	}, f.stored)
	f.stored = nil
	return s.Close
}

// apply puts an update in force and returns once it is. complete means that the update is a complete document. The
// subscriber calls it on its goroutine.
func (f *following) apply(update *configsync.Update, complete bool) error {
	revision, err := f.live.Apply(update.Changes, complete)
	if err != nil {
		return err
	}
	err = f.node.ApplyConfiguration(update.To, revision)
	if errors.Is(err, node.ErrStopped) {
		return subscriber.ErrStopped
	}
	return err
}
