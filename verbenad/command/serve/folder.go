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
	offers := make(chan folder.Proposal, 1)
	w, stop, err := folder.New(folder.WithPath(path), folder.WithLog(d.logger()),
		folder.WithOnProposal(func(o folder.Proposal) { replacePending(offers, o) }))
	if err != nil {
		return &Error{op: "watch " + path, kind: WatchFailed, cause: err}
	}
	d.addCleanup(stop)
	d.group.Go(func() { d.proposeOffers(path, offers, w) })
	return nil
}

// replacePending puts an offer in place of the one that was not received yet, so that only the newest is
// proposed. Only one goroutine may send on the channel, which must have a buffer of 1.
func replacePending(offers chan folder.Proposal, o folder.Proposal) {
	select {
	case <-offers:
	default:
	}
	offers <- o
}

// proposeOffers proposes one configuration at a time until the daemon ends, and has undecided ones
// offered again.
func (d *Daemon) proposeOffers(path string, offers chan folder.Proposal, w *folder.Watcher) {
	for {
		select {
		case <-d.ctx.Done():
			return
		case o := <-offers:
			if !d.propose(d.ctx, path, o) {
				w.Retry()
			}
		}
	}
}

// propose proposes a configuration to the control group, logs the verdict, and reports whether there is
// one. A configuration that can never be accepted counts as decided.
func (d *Daemon) propose(ctx context.Context, path string, o folder.Proposal) bool {
	log := d.logger().WithField("version", o.Version()).WithField("digest", o.Digest())
	if len(o.Content()) > maxRulesBytes {
		log.Errorf("rules: refused: merged configuration has %d bytes, the limit is %d", len(o.Content()), maxRulesBytes)
		return true
	}
	r, err := d.codec.DecodeRules(&wirepb.Configuration{Version: o.Version(), Digest: o.Digest(), Content: o.Content()})
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
