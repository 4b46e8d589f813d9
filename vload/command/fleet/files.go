package fleet

import (
	"crypto/rand"
	"os"
	"path/filepath"

	"verbenabank/vload/adapt/conf"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/server"
)

// writeFiles removes the files of an earlier run, and writes the shared secret, the settings of all
// processes and, if there are daemons, a copy of the configuration folder.
func (f *Fleet) writeFiles() error {
	if err := f.clearFiles(); err != nil {
		return fail("clear folder", NotStarted, err)
	}
	secret := []byte(rand.Text() + "\n")
	if err := os.WriteFile(filepath.Join(f.folder, conf.SecretFile), secret, 0o600); err != nil {
		return fail("write secret", NotStarted, err)
	}
	var peers []string
	for _, i := range f.layout.Instances() {
		if f.isReplica(i) {
			peers = append(peers, i.PeersAddress())
		}
	}
	for _, i := range f.layout.Instances() {
		if err := f.writeInstance(i, peers); err != nil {
			return err
		}
	}
	if f.daemonPath == "" {
		return nil
	}
	folder := filepath.Join(f.folder, conf.ConfigurationFolder)
	if err := os.CopyFS(folder, os.DirFS(f.layout.ConfigurationFolder())); err != nil {
		return fail("copy configuration", NotStarted, err)
	}
	return nil
}

// clearFiles removes the folders of the instances, the configuration folder and the secret. Other files
// in the folder of the run stay.
func (f *Fleet) clearFiles() error {
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

// writeInstance creates the folder of an instance and writes the settings of its processes into it. The
// peers are the addresses of the control replicas.
func (f *Fleet) writeInstance(i layout.Instance, peers []string) error {
	folder := filepath.Join(f.folder, i.Name())
	if err := os.MkdirAll(filepath.Join(folder, conf.DataFolder), 0o755); err != nil {
		return fail("make folder", NotStarted, err)
	}
	admin := ""
	if f.daemonPath != "" {
		admin = i.AdminAddress()
		if err := conf.WriteDaemon(filepath.Join(folder, conf.DaemonFile), i, peers, f.isReplica(i)); err != nil {
			return err
		}
	}
	s := server.NewSettings(i.Name(), i.Service().Name(), i.TargetAddress(), admin, conf.LedgerFile, i.Service().Behavior())
	return conf.WriteTarget(filepath.Join(folder, conf.TargetFile), s)
}
