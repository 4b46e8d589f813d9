package serve

import (
	"context"

	"github.com/sirupsen/logrus"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/folder"
)

// maxRulesBytes is the size of the largest merged configuration. It is one entry of
// the log and must fit one message to each daemon with the rest of the table.
const maxRulesBytes = 1 << 20

// watchFolder offers what the operators write to the control group.
func (d *Daemon) watchFolder() error {
	path, ok := d.settings.Load().ConfigFolder()
	if !ok {
		return nil
	}
	offers := make(chan folder.Proposal, 1)
	w, stop, err := folder.New(folder.WithPath(path), folder.WithLog(d.part()),
		folder.WithOnProposal(func(o folder.Proposal) { replace(offers, o) }))
	if err != nil {
		return &Error{op: "watch " + path, kind: BadFolder, cause: err}
	}
	d.atEnd(stop)
	d.group.Go(func() { d.serveOffers(path, offers, w) })
	return nil
}

// replace puts the newest offer in place of one that was not taken yet. It is for
// one goroutine.
func replace(offers chan folder.Proposal, o folder.Proposal) {
	select {
	case <-offers:
	default:
	}
	offers <- o
}

// serveOffers makes one offer at a time.
func (d *Daemon) serveOffers(path string, offers chan folder.Proposal, w *folder.Watcher) {
	for {
		select {
		case <-d.life.Done():
			return
		case o := <-offers:
			if !d.offer(d.life, path, o) {
				w.Retry()
			}
		}
	}
}

// offer proposes a configuration, logs what became of it, and reports whether it
// was decided.
func (d *Daemon) offer(ctx context.Context, path string, o folder.Proposal) bool {
	log := d.part().WithField("version", o.Version()).WithField("digest", o.Digest())
	if len(o.Content()) > maxRulesBytes {
		log.Errorf("rules: refused: the merged configuration has %d bytes, the most is %d", len(o.Content()), maxRulesBytes)
		return true
	}
	r, err := d.codec.DecodeRules(&wirepb.Configuration{Version: o.Version(), Digest: o.Digest(), Content: o.Content()})
	if err != nil {
		log.WithError(err).Error("rules: the configuration cannot be read")
		return true
	}
	v, err := d.client.Offer(ctx, logcmd.NewSetRules(r, d.settings.Load().Instance(), path))
	if err != nil {
		log.WithError(err).Warn("rules: not decided yet")
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
		log.Info("rules: in force already")
	case fleet.Conflict:
		log.WithField("in_force", v.Digest()).Errorf(
			"rules: refused, since %s:%s came first with this version and other content; compare both folders, merge by hand and raise the version",
			v.First().Instance(), v.First().Folder())
	case fleet.Older:
		log.WithField("in_force", v.Version()).Warn("rules: ignored, a newer version is in force")
	case fleet.Invalid:
		log.Errorf("rules: refused: %s", v.Problem())
	}
}
