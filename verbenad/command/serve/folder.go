package serve

import (
	"verbenabank/core/state/order"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/folder"
)

// watchFolder offers what the operators write to the control group.
func (d *Daemon) watchFolder() error {
	path, ok := d.settings.Folder()
	if !ok {
		return nil
	}
	stop, err := folder.New(folder.WithPath(path), folder.WithLog(d.part()),
		folder.WithOffer(func(o folder.Offer) folder.Outcome { return d.offer(path, o) }))
	if err != nil {
		return &Error{op: "watch " + path, kind: BadFolder, cause: err}
	}
	d.atEnd(stop)
	return nil
}

// offer proposes a configuration and logs what became of it.
func (d *Daemon) offer(path string, o folder.Offer) folder.Outcome {
	log := d.part().WithField("version", o.Version()).WithField("digest", o.Digest())
	r, err := d.codec.DecodeRules(&wirepb.Configuration{Version: o.Version(), Digest: o.Digest(), Content: o.Content()})
	if err != nil {
		log.WithError(err).Error("rules: the configuration cannot be read")
		return folder.Decided{}
	}
	v, err := d.desk.Offer(d.life, order.NewAccept(r, d.settings.Instance(), path))
	if err != nil {
		log.WithError(err).Warn("rules: not decided yet")
		return folder.Undecided{}
	}
	switch v.GetCode() {
	case wirepb.VerdictCode_VERDICT_CODE_ACCEPTED:
		log.Info("rules: accepted")
	case wirepb.VerdictCode_VERDICT_CODE_REPEATED:
		log.Info("rules: in force already")
	case wirepb.VerdictCode_VERDICT_CODE_CONFLICT:
		log.WithField("in_force", v.GetDigest()).Errorf(
			"rules: refused, since %s:%s came first with this version and other content; compare both folders, merge by hand and raise the version",
			v.GetFirstInstance(), v.GetFirstFolder())
	case wirepb.VerdictCode_VERDICT_CODE_OLDER:
		log.WithField("in_force", v.GetVersion()).Warn("rules: ignored, a newer version is in force")
	case wirepb.VerdictCode_VERDICT_CODE_INVALID:
		log.Errorf("rules: refused: %s", v.GetMessage())
	case wirepb.VerdictCode_VERDICT_CODE_UNDECIDED, wirepb.VerdictCode_VERDICT_CODE_UNSPECIFIED:
		return folder.Undecided{}
	}
	return folder.Decided{}
}
