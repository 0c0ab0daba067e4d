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

// maxListBytes is how long an answer of discovery may be. Beside it, what it holds is kept twice for a moment.
func (l Limits) maxListBytes() int64 {
	return max(int64(l.MemoryMB*(1<<20)/8), discovery.MinAnswerLimitBytes)
}

// diskMarginBytes stays free: files are counted in whole blocks, and the platform ends a sender that has more than its disk.
const diskMarginBytes = 16 << 10

// diskBytes is the disk that the platform gives; 0 if it sets no limit.
func (l Limits) diskBytes() int64 { return int64(l.DiskMB * 1e6) }

// listStoreBytes is what the saved list may take on disk beside the journal, which takes two files for the time of a
// rewrite. What is on disk may count as memory: it is no more than two of the longest lists.
func (l Limits) listStoreBytes() int64 {
	left := 2 * l.maxListBytes()
	if disk := l.diskBytes(); disk > 0 {
		left = min(left, disk-2*journalFileLimit(disk)-diskMarginBytes)
	}
	return max(left, 0)
}

// Config is what the platform tells a sender at its start.
type Config struct {
	Name          string
	ListenAddr    string
	DiscoveryAddr string
	OperatorAddr  string // where operators call; empty for no such address
	StateDir      string
	Seed          uint64
	Limits        Limits
	KnownList     discovery.List
	Deployment    wire.Deployment
	ClassIndexes  map[string]int
	TenantIndexes map[string]int
	Warnings      []string // what makes no sense, and what was taken for it
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

// LoadDiscoveryAddr reads discovery's address anew. The file has it: the environment is that of the start.
func LoadDiscoveryAddr() (string, error) {
	cfg, err := readConfig()
	if err != nil {
		return "", err
	}
	if cfg.DiscoveryAddr == "" {
		return "", errors.New("the configuration names no discovery")
	}
	return cfg.DiscoveryAddr, nil
}

// LoadConfig reads the environment and the file that it names.
func LoadConfig() (*Config, error) {
	cfg, err := readConfig()
	if err != nil {
		return nil, err
	}
	cfg.StateDir = os.Getenv("BALANCER_STATE")
	for name, field := range map[string]*string{"BALANCER_NAME": &cfg.Name, "BALANCER_LISTEN": &cfg.ListenAddr,
		"BALANCER_DISCOVERY": &cfg.DiscoveryAddr, "BALANCER_OPERATOR": &cfg.OperatorAddr} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	if cfg.StateDir == "" || cfg.ListenAddr == "" || cfg.DiscoveryAddr == "" {
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
	cfg := &Config{Name: in.Name, ListenAddr: in.Listen, DiscoveryAddr: in.Discovery, OperatorAddr: in.Operator, Limits: in.Limits,
		Deployment: deploy, ClassIndexes: map[string]int{}, TenantIndexes: map[string]int{}}
	if deploy.InvalidValues != nil {
		cfg.Warnings = append(cfg.Warnings, fmt.Sprintf("settings: %v; taken for missing", deploy.InvalidValues))
	}
	cfg.Warnings = append(cfg.Warnings, cfg.Deployment.Settings.ReplaceInvalid()...)
	if t := &cfg.Deployment.ConnectTimeout; *t <= 0 || *t > logic.Micros(time.Minute.Microseconds()) {
		cfg.Warnings = append(cfg.Warnings, fmt.Sprintf("settings: a connect timeout of %d us makes no sense, taken for 1 s", *t))
		*t = logic.Second
	}
	if len(in.Known) > 0 {
		if err := json.Unmarshal(in.Known, &cfg.KnownList); err != nil {
			cfg.Warnings = append(cfg.Warnings, fmt.Sprintf("known list: %v; begun without one", err))
			cfg.KnownList = discovery.List{}
		}
	}
	if cfg.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		// Senders without one must not act in step: each has another name and address.
		h := fnv.New64a()
		fmt.Fprintln(h, in.Name, in.Listen, time.Now().UnixNano())
		cfg.Seed = h.Sum64()
		cfg.Warnings = append(cfg.Warnings, fmt.Sprintf("seed: %v; drew one", err))
	}
	for i, c := range deploy.Settings.Classes {
		cfg.ClassIndexes[c.Name] = i
	}
	for i, t := range deploy.Settings.Tenants {
		cfg.TenantIndexes[t.Name] = i
	}
	return cfg, nil
}
