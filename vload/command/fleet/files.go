package fleet

import (
	"crypto/rand"
	"os"
	"path/filepath"

	"verbenabank/vload/adapt/conf"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/server"
)

// write removes the files of an earlier run and writes those of this one.
func (f *Fleet) write() error {
	if err := f.clear(); err != nil {
		return fail("clear folder", NotStarted, err)
	}
	secret := []byte(rand.Text() + "\n")
	if err := os.WriteFile(filepath.Join(f.folder, conf.SecretFile), secret, 0o600); err != nil {
		return fail("write secret", NotStarted, err)
	}
	var peers []string
	for _, i := range f.layout.Instances() {
		if f.replica(i) {
			peers = append(peers, i.PeersAddress())
		}
	}
	for _, i := range f.layout.Instances() {
		if err := f.instance(i, peers); err != nil {
			return err
		}
	}
	if f.daemon == "" {
		return nil
	}
	folder := filepath.Join(f.folder, conf.ConfigurationFolder)
	if err := os.CopyFS(folder, os.DirFS(f.layout.ConfigurationFolder())); err != nil {
		return fail("copy configuration", NotStarted, err)
	}
	return nil
}

func (f *Fleet) clear() error {
	names := []string{conf.ConfigurationFolder, conf.SecretFile}
	for _, i := range f.layout.Instances() {
		names = append(names, i.Name())
	}
	for _, name := range names {
		if err := os.RemoveAll(filepath.Join(f.folder, name)); err != nil {
			return err
		}
	}
	return os.MkdirAll(f.folder, 0o755)
}

func (f *Fleet) instance(i layout.Instance, peers []string) error {
	folder := filepath.Join(f.folder, i.Name())
	if err := os.MkdirAll(filepath.Join(folder, conf.DataFolder), 0o755); err != nil {
		return fail("make folder", NotStarted, err)
	}
	admin := ""
	if f.daemon != "" {
		admin = i.AdminAddress()
		if err := conf.WriteDaemon(filepath.Join(folder, conf.DaemonFile), i, peers, f.replica(i)); err != nil {
			return err
		}
	}
	s := server.NewSettings(i.Name(), i.Service().Name(), i.TargetAddress(), admin, conf.LedgerFile, i.Service().Behavior())
	return conf.WriteTarget(filepath.Join(folder, conf.TargetFile), s)
}
