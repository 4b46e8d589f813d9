package serve

import (
	"context"

	"github.com/sirupsen/logrus"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/folder"
)

// maxRulesBytes limits the size of a merged configuration. The configuration is a single entry of the
// replicated log, and must fit one message to a daemon together with the rest of the routing table.
const maxRulesBytes = 1 << 20

// watchFolder proposes each valid state of the configuration folder to the control group.
func (d *Daemon) watchFolder() error {
	path, ok := d.settings.Load().ConfigFolder()
	if !ok {
		return nil
	}
	pending := make(chan folder.Proposal, 1)
	w, stop, err := folder.New(folder.WithPath(path), folder.WithLog(d.logger()),
		folder.WithOnProposal(func(p folder.Proposal) { replacePending(pending, p) }))
	if err != nil {
		return &Error{op: "watch " + path, kind: WatchFailed, cause: err}
	}
	d.addCleanup(stop)
	d.group.Go(func() { d.proposePending(path, pending, w) })
	return nil
}

// replacePending replaces the proposal that was not received yet, so that only the newest one is sent to the
// control group. Only one goroutine may send on the channel, which must have a buffer of 1.
func replacePending(pending chan folder.Proposal, p folder.Proposal) {
	select {
	case <-pending:
	default:
	}
	pending <- p
}

// proposePending sends the pending proposals to the control group, one at a time, until the daemon ends, and
// has the watcher repeat those that are not decided.
func (d *Daemon) proposePending(path string, pending chan folder.Proposal, w *folder.Watcher) {
	for {
		select {
		case <-d.ctx.Done():
			return
		case p := <-pending:
			if !d.propose(d.ctx, path, p) {
				w.Retry()
			}
		}
	}
}

// propose proposes a configuration to the control group, logs the verdict, and reports whether there is
// one. A configuration that can never be accepted counts as decided.
func (d *Daemon) propose(ctx context.Context, path string, p folder.Proposal) bool {
	log := d.logger().WithField("version", p.Version()).WithField("digest", p.Digest())
	if len(p.Content()) > maxRulesBytes {
		log.Errorf("rules: refused: merged configuration has %d bytes, the limit is %d", len(p.Content()), maxRulesBytes)
		return true
	}
	r, err := d.codec.DecodeRules(&wirepb.Configuration{Version: p.Version(), Digest: p.Digest(), Content: p.Content()})
	if err != nil {
		log.WithError(err).Error("rules: configuration cannot be decoded")
		return true
	}
	v, err := d.controlClient.Propose(ctx, logcmd.NewSetRules(r, d.settings.Load().Instance(), path))
	if err != nil {
		log.WithError(err).Warn("rules: proposal not decided yet, will retry")
		return false
	}
	logVerdict(log, v)
	return true
}

func logVerdict(log *logrus.Entry, v fleet.Verdict) {
	switch v := v.(type) {
	case fleet.Accepted:
		log.Info("rules: accepted")
	case fleet.Repeated:
		log.Info("rules: already in force")
	case fleet.Conflict:
		log.WithField("in_force", v.Digest()).Errorf(
			"rules: refused: %s:%s submitted this version first with different content; compare both folders, merge by hand and raise the version",
			v.First().Instance(), v.First().Folder())
	case fleet.Older:
		log.WithField("in_force", v.Version()).Warn("rules: ignored, a newer version is in force")
	case fleet.Invalid:
		log.Errorf("rules: refused: %s", v.Problem())
	}
}
