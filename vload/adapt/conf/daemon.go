package conf

import "verbenabank/vload/state/layout"

// Names of files in the folder of an instance, and of the shared ones above it.
const (
	DaemonFile          = "daemon.jsonc"
	TargetFile          = "target.jsonc"
	LedgerFile          = "ledger.jsonl"
	SecretFile          = "secret"
	DataFolder          = "data"
	ConfigurationFolder = "conf.d"
)

// WriteDaemon writes the settings of the daemon of an instance to the file at
// path. The peers are the addresses of the control replicas; replica says
// whether this daemon is one of them.
func WriteDaemon(path string, i layout.Instance, peers []string, replica bool) error {
	type listen struct {
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
		Admin   string `json:"admin"`
	}
	type control struct {
		DataFolder string `json:"data_folder"`
		Form       bool   `json:"form"`
	}
	type logs struct {
		Level  string `json:"level"`
		Format string `json:"format"`
	}
	wire := struct {
		Instance            string   `json:"instance"`
		Zone                string   `json:"zone"`
		Listen              listen   `json:"listen"`
		Replicas            []string `json:"replicas"`
		SecretFile          string   `json:"secret_file"`
		Control             *control `json:"control,omitempty"`
		ConfigurationFolder string   `json:"configuration_folder,omitempty"`
		Log                 logs     `json:"log"`
	}{
		Instance: i.Name(), Zone: i.Zone(),
		Listen:     listen{Callers: i.CallersAddress(), Peers: i.PeersAddress(), Admin: i.AdminAddress()},
		Replicas:   peers,
		SecretFile: "../" + SecretFile,
		Log:        logs{Level: "info", Format: "text"},
	}
	if replica {
		wire.Control = &control{DataFolder: DataFolder, Form: true}
		wire.ConfigurationFolder = "../" + ConfigurationFolder
	}
	return save(path, wire)
}
