// Package node is the sender on real sockets: it takes messages from clients,
// keeps them in a journal, and lets a logic.Sender decide what is sent where and
// when. It decides nothing about messages itself.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/internal/wire"
	"crossdeal/logic"
)

// Limits are the bounds that the platform sets for the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// listBytes is how long an answer of discovery may be. Beside it, what it holds is kept twice for a moment.
func (l Limits) listBytes() int64 {
	return max(int64(l.MemoryMB*(1<<20)/8), discovery.LeastBytes)
}

// diskMargin stays free: files are counted in whole blocks, and the platform ends a sender that has more than its disk.
const diskMargin = 16 << 10

// diskBytes is the disk that the platform gives; 0 if it sets no limit.
func (l Limits) diskBytes() int64 { return int64(l.DiskMB * 1e6) }

// storeBytes is what the saved list may take on disk beside the journal, which takes two files for the time of a
// rewrite. What is on disk may count as memory: it is no more than two of the longest lists.
func (l Limits) storeBytes() int64 {
	left := 2 * l.listBytes()
	if disk := l.diskBytes(); disk > 0 {
		left = min(left, disk-2*journalLimit(disk)-diskMargin)
	}
	return max(left, 0)
}

// Config is what the platform tells a sender at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Operator  string // where operators call; empty for no such address
	StateDir  string
	Seed      uint64
	Limits    Limits
	Known     discovery.List
	Deploy    wire.Deployment
	Classes   map[string]int
	Tenants   map[string]int
	Doubts    []string // what makes no sense, and what was taken for it
}

// readConfig reads the file that the environment names.
func readConfig() (*Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read config: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	return cfg, nil
}

// LoadDiscovery reads discovery's address anew. The file has it: the environment is that of the start.
func LoadDiscovery() (string, error) {
	cfg, err := readConfig()
	if err != nil {
		return "", err
	}
	if cfg.Discovery == "" {
		return "", errors.New("the configuration names no discovery")
	}
	return cfg.Discovery, nil
}

// LoadConfig reads the environment and the file that it names.
func LoadConfig() (*Config, error) {
	cfg, err := readConfig()
	if err != nil {
		return nil, err
	}
	cfg.StateDir = os.Getenv("BALANCER_STATE")
	for name, field := range map[string]*string{"BALANCER_NAME": &cfg.Name, "BALANCER_LISTEN": &cfg.Listen,
		"BALANCER_DISCOVERY": &cfg.Discovery, "BALANCER_OPERATOR": &cfg.Operator} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	if cfg.StateDir == "" || cfg.Listen == "" || cfg.Discovery == "" {
		return nil, errors.New("BALANCER_STATE, BALANCER_LISTEN and BALANCER_DISCOVERY must be set")
	}
	return cfg, nil
}

// ParseConfig reads the text of the configuration file.
func ParseConfig(text []byte) (*Config, error) {
	var in struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Operator  string          `json:"operator"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, err
	}
	deploy, err := wire.ParseDeployment(in.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg := &Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Operator: in.Operator, Limits: in.Limits,
		Deploy: deploy, Classes: map[string]int{}, Tenants: map[string]int{}}
	if deploy.Unread != nil {
		cfg.Doubts = append(cfg.Doubts, fmt.Sprintf("settings: %v; taken for missing", deploy.Unread))
	}
	cfg.Doubts = append(cfg.Doubts, cfg.Deploy.Settings.ReplaceInvalid()...)
	if t := &cfg.Deploy.ConnectTimeout; *t <= 0 || *t > logic.Micros(time.Minute.Microseconds()) {
		cfg.Doubts = append(cfg.Doubts, fmt.Sprintf("settings: a connect timeout of %d us makes no sense, taken for 1 s", *t))
		*t = logic.Second
	}
	if len(in.Known) > 0 {
		if err := json.Unmarshal(in.Known, &cfg.Known); err != nil {
			cfg.Doubts = append(cfg.Doubts, fmt.Sprintf("known list: %v; begun without one", err))
			cfg.Known = discovery.List{}
		}
	}
	if cfg.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		// Senders without one must not act in step: each has another name and address.
		h := fnv.New64a()
		fmt.Fprintln(h, in.Name, in.Listen, time.Now().UnixNano())
		cfg.Seed = h.Sum64()
		cfg.Doubts = append(cfg.Doubts, fmt.Sprintf("seed: %v; drew one", err))
	}
	for i, c := range deploy.Settings.Classes {
		cfg.Classes[c.Name] = i
	}
	for i, t := range deploy.Settings.Tenants {
		cfg.Tenants[t.Name] = i
	}
	return cfg, nil
}
