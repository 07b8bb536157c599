package program

import (
	"errors"
	"log/slog"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/node"
	"ravensill/internal/subscriber"
)

// configurationFollower is the state of a gateway that follows the publishers of the configuration.
type configurationFollower struct {
	platform node.Platform
	cfg      *config.Config       // the gateway's configuration at its start
	live     *config.Live         // the configuration in force; only the subscriber uses it once that runs
	stored   *configsync.Document // the version of cfg, empty if there is none; nil once passed to the subscriber
	node     *node.Node
}

// newConfigurationFollower reads the version that is stored on disk. The gateway starts with this version, so that it
// needs no publisher for that. It starts with its own file alone if no version is stored or the stored one is invalid.
func newConfigurationFollower(platform node.Platform, file *config.Config) *configurationFollower {
	stored, err := subscriber.Load(file.Configuration.Dir)
	if err != nil { // the end of the file is incomplete or altered; stored is the last version before that
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
			return &configurationFollower{platform: platform, cfg: cfg, live: live, stored: stored}
		}
		logInvalidVersion(stored.Version(), err)
	}
	return &configurationFollower{
		platform: platform,
		cfg:      file,
		live:     config.NewLive(file),
		stored:   configsync.NewDocument(""),
	}
}

// logInvalidVersion logs that a stored version is invalid, in the same form as the subscriber logs a received one.
func logInvalidVersion(version configsync.Version, err error) {
	resource := configsync.Resource("")
	var resourceError *config.ResourceError
	if errors.As(err, &resourceError) {
		resource = resourceError.Resource
	}
	slog.Warn("configuration_refused", "version", version, "resource", resource, "reason", err)
}

// start starts the subscriber and returns the function that stops it. If the incarnation can't be saved, the subscriber
// uses it all the same.
func (f *configurationFollower) start() (end func()) {
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

// apply validates an update and applies it to the gateway. complete means that the update holds a complete document
// instead of changes. The subscriber's goroutine calls it. It fails if the update is invalid, or with
// subscriber.ErrStopped if the gateway has stopped.
func (f *configurationFollower) apply(update *configsync.Update, complete bool) error {
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
