package upstreamer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func (upstream *Upstream) putGrant(writer http.ResponseWriter, request *http.Request) {
	upstream.thaw()
	var grant Grant
	if err := json.NewDecoder(request.Body).Decode(&grant); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if !upstream.settings.ChecksGrants {
		http.Error(writer, "this upstream does not check grants", http.StatusNotFound)
		return
	}
	if reason := upstream.accept(grant); reason != "" {
		writer.Header().Set("Cuminstream-Refusal", reason)
		upstream.reply(writer, http.StatusConflict)
		return
	}
	upstream.reply(writer, http.StatusOK)
}

// accept applies the grant, or returns why it is refused.
func (upstream *Upstream) accept(grant Grant) string {
	current := upstream.grant
	known := current != nil && current.Group == grant.Group
	if known && (grant.Term < current.Term || grant.Term == current.Term && grant.Seq < current.Seq) {
		return "fenced"
	}
	if grant.Renew && (!known || grant.Term != current.Term || grant.Seq != current.Seq) {
		return "unknown"
	}
	left := grant.TTL - (upstream.stamp() - grant.Stamp)
	if grant.Stamp <= 0 || left <= 0 {
		return "late"
	}
	if expiry := upstream.clock.Now().Add(time.Duration(left) * time.Millisecond); !grant.Renew || expiry.After(upstream.expiry) {
		upstream.expiry = expiry
	}
	if grant.Renew {
		return ""
	}
	grant.shards, grant.keys, grant.withoutKeys = map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, shard := range grant.Shards {
		grant.shards[strconv.FormatUint(uint64(shard), 10)] = true
	}
	for _, key := range grant.Keys {
		grant.keys[key] = true
	}
	for _, key := range grant.WithoutKeys {
		grant.withoutKeys[key] = true
	}
	upstream.grant = &grant
	return ""
}

// fenced returns why the grant does not cover the request, or "".
func (upstream *Upstream) fenced(request *http.Request) string {
	if !upstream.settings.ChecksGrants {
		return ""
	}
	grant := upstream.grant
	if grant == nil || request.Header.Get("Cuminstream-Group") != grant.Group {
		return "no grant of this group"
	}
	if term, err := strconv.ParseUint(request.Header.Get("Cuminstream-Term"), 10, 64); err != nil || term != grant.Term {
		return fmt.Sprintf("term %d differs from the grant's term %d", term, grant.Term)
	}
	if !upstream.clock.Now().Before(upstream.expiry) {
		return "the grant has expired"
	}
	key := requestKey(request)
	if grant.keys[key] || grant.shards[request.Header.Get("Cuminstream-Shard")] && !grant.withoutKeys[key] {
		return ""
	}
	return "the shard is not granted"
}

func (upstream *Upstream) getGrant(writer http.ResponseWriter, _ *http.Request) {
	upstream.thaw()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.replyWith(writer, http.StatusOK, upstream.grant)
}

func (upstream *Upstream) health(writer http.ResponseWriter, _ *http.Request) {
	upstream.thaw()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	status := http.StatusOK
	if upstream.behavior.HealthStatus != 0 {
		status = upstream.behavior.HealthStatus
	}
	upstream.reply(writer, status)
}

func (upstream *Upstream) reply(writer http.ResponseWriter, status int) {
	upstream.replyWith(writer, status, nil)
}

func (upstream *Upstream) replyWith(writer http.ResponseWriter, status int, grant *Grant) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(StatusResponse{
		Grant: grant, Stamp: upstream.stamp(), Instance: upstream.instance,
		Draining: upstream.behavior.Draining, Running: upstream.runs(),
	})
}

// runs lists the requests with an ID that have started and not ended.
func (upstream *Upstream) runs() []RunningRequest {
	var runs []RunningRequest
	for _, run := range upstream.started {
		run.Left = max(run.deadline.Sub(upstream.clock.Now()).Milliseconds(), 0)
		runs = append(runs, run)
	}
	return runs
}

// loadSample is the number of running requests at a time.
type loadSample struct {
	at      time.Time
	running int
}

// maxLoadSamples bounds the memory of past loads.
const maxLoadSamples = 4096

func (upstream *Upstream) sampleLoad() {
	if len(upstream.loads) >= maxLoadSamples {
		upstream.loads = append([]loadSample(nil), upstream.loads[maxLoadSamples/2:]...)
	}
	upstream.loads = append(upstream.loads, loadSample{upstream.clock.Now(), upstream.running})
}

// load reports the running requests as they were some time ago, multiplied by
// the configured factor.
func (upstream *Upstream) load(writer http.ResponseWriter, _ *http.Request) {
	upstream.thaw()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	before := upstream.clock.Now().Add(-time.Duration(upstream.behavior.LoadLagMillis) * time.Millisecond)
	running := 0
	for _, sample := range upstream.loads {
		if !sample.at.After(before) {
			running = sample.running
		}
	}
	load := float64(running) / float64(upstream.settings.Slots)
	if upstream.behavior.LoadFactor > 0 {
		load *= upstream.behavior.LoadFactor
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]float64{"load": load})
}
