package main

import (
	"fmt"

	"pitchfield/brain"
	"pitchfield/internal/settings"
	"pitchfield/simwire"
)

// router is one instance: its module and its id-to-pointer maps.
type router struct {
	id           uint16
	brain        *brain.Router
	batches      map[uint64]*brain.Batch
	engines      map[uint32]*brain.Engine
	groups       []*brain.ServiceGroup
	clients      int
	reportFields []string
	touched      bool
}

// host holds the instances of this process. They share nothing but the directory pages of the wire.
type host struct {
	routers         map[uint16]*router
	pages           map[uint32][]simwire.Entry
	touched         []*router
	reply           simwire.Reply
	reportValues    []float64
	unknownReported bool // of settings that are not known
}

const (
	listFull      = 1
	listCached    = 2
	listFailed    = 3
	costGivenFlag = 1
)

var (
	phaseByCode   = map[uint8]brain.Phase{0: brain.Draining, 2: brain.Ready}
	outcomeByCode = map[uint8]brain.Outcome{0: brain.Errored, 1: brain.Completed, 2: brain.Rejected, 3: brain.TimedOut,
		4: brain.ConnectFailed, 5: brain.ConnectionLost, 6: brain.Canceled, 7: brain.NotSent}
	updateByCode = map[uint8]brain.Update{1: brain.Progress, 2: brain.Spilling, 3: brain.Waiting}
)

// handleFrame handles one frame; the reply is in h.reply.
func (h *host) handleFrame(f *simwire.Frame) error {
	h.reply.Reset()
	h.touched = h.touched[:0]
	for {
		rec, err := f.Next()
		if err != nil {
			return err
		}
		if rec == nil {
			break
		}
		if rec.Code == simwire.Directory {
			page, list := rec.Entries()
			h.pages[page] = list
		} else if err := h.handleEvent(rec, f.Now/1000); err != nil {
			return fmt.Errorf("record %d (code %d): %w", rec.Number, rec.Code, err)
		}
		if err := rec.Err(); err != nil {
			return err
		}
	}
	for _, rt := range h.touched {
		if h.routers[rt.id] == rt {
			h.writeDecisions(rt)
		}
		rt.touched = false
	}
	return nil
}

func (h *host) handleEvent(rec *simwire.Record, now float64) error {
	if rec.Code < simwire.Destroy || rec.Code > simwire.Pong {
		return nil
	}
	id := rec.U16()
	if rec.Err() != nil {
		return nil
	}
	switch rec.Code {
	case simwire.Destroy:
		delete(h.routers, id)
		return nil
	case simwire.NewInstance:
		seed := rec.U64()
		text := rec.Bytes()
		if rec.Err() != nil {
			return nil
		}
		s, err := settings.Decode(text)
		if err != nil {
			return err
		}
		if len(s.UnknownKeys) > 0 && !h.unknownReported {
			h.unknownReported = true
			h.reply.Print(id, fmt.Sprintf("settings that are not known: %v", s.UnknownKeys))
		}
		h.routers[id] = &router{id: id, brain: brain.New(s.Settings, seed, now), batches: map[uint64]*brain.Batch{},
			engines: map[uint32]*brain.Engine{}, groups: s.Groups, clients: len(s.Clients), reportFields: s.ReportFields}
	}
	rt := h.routers[id]
	if rt == nil {
		return nil
	}
	if !rt.touched {
		rt.touched = true
		h.touched = append(h.touched, rt)
	}
	rt.brain.SetTime(now)
	switch rec.Code {
	case simwire.Endpoints:
		h.updateEngines(rt, rec)
	case simwire.JobIn:
		rt.addBatch(rec)
	case simwire.Pong:
		e, status := rt.engines[rec.U32()], rec.U8()
		rec.F64()
		if rep := rt.readReport(rec, h); e != nil && rec.Err() == nil {
			rt.brain.ProbeEnded(e, status == 1, rep)
		}
	case simwire.Outcome:
		b, last, no, status := rt.batches[rec.U64()], rec.U8() != 0, int(rec.U16()), rec.U8()
		rec.U32()
		elapsed, used := rec.F64()/1000, rec.U32()
		rep := rt.readReport(rec, h)
		if b != nil && rec.Err() == nil {
			work, memory := float64(used>>12)/1000, float64(used&0xfff)*4
			rt.brain.DispatchEnded(b, no, outcomeByCode[status], last, elapsed, work, memory, rep)
			rt.removeIfFinished(b)
		}
	case simwire.Aborted:
		if b := rt.batches[rec.U64()]; b != nil {
			rt.brain.RemoveBatch(b)
			rt.removeIfFinished(b)
		}
	case simwire.UpdateOf:
		b, kind := rt.batches[rec.U64()], rec.U8()
		rec.U32()
		level, no := rec.F32(), int(rec.U16())
		if b != nil && rec.Err() == nil {
			rt.brain.DispatchUpdated(b, no, updateByCode[kind], level)
		}
	case simwire.Ring:
		rt.brain.TimerFired()
	}
	return nil
}

// removeIfFinished drops a batch that is over and has no dispatch out; later news of it is ignored.
func (rt *router) removeIfFinished(b *brain.Batch) {
	if b.Done && b.InFlight == 0 {
		delete(rt.batches, b.ID)
	}
}

func (rt *router) addBatch(rec *simwire.Record) {
	b := &brain.Batch{ID: rec.U64()}
	group, org := int(rec.U8()), int(rec.U32())
	b.Key, b.TimeLeft = rec.U64(), rec.F64()/1000
	cost, memory, tables, marks := rec.F64()/1000, rec.F32(), rec.F32(), rec.U16()
	if rec.Err() != nil || group >= len(rt.groups) || rt.batches[b.ID] != nil {
		return
	}
	b.Group, b.EstimatedMemory, b.DataSet, b.Client = rt.groups[group], memory, tables, -1
	if org < rt.clients {
		b.Client = org
	}
	if marks&costGivenFlag != 0 {
		b.EstimatedWork = cost
	}
	rt.batches[b.ID] = b
	rt.brain.AddBatch(b)
}

func (h *host) updateEngines(rt *router, rec *simwire.Record) {
	form, _, page := rec.U8(), rec.U32(), rec.U32()
	if rec.Err() != nil {
		return
	}
	if form == listFailed {
		rt.brain.EngineListFailed()
		return
	}
	var list []*brain.Engine
	for _, en := range h.pages[page] {
		e := rt.engines[en.Engine]
		if e == nil {
			e = &brain.Engine{ID: en.Engine}
			rt.engines[en.Engine] = e
		}
		e.Phase, e.Size, e.StartedAt = phaseByCode[en.Phase], en.PowerHint, en.StartMS/1000
		e.Cell, e.Kind, e.Zone = int(en.Pack), int(en.Kind), int(en.Site)
		list = append(list, e)
	}
	rt.brain.UpdateEngines(list, form == listFull || form == listCached)
}

func (rt *router) readReport(rec *simwire.Record, h *host) *brain.Report {
	h.reportValues = rec.Floats(h.reportValues[:0])
	if len(h.reportValues) == 0 {
		return nil
	}
	rep := settings.EmptyReport()
	for i, v := range h.reportValues {
		if i < len(rt.reportFields) {
			settings.SetReportField(rep, rt.reportFields[i], v)
		}
	}
	return rep
}

// writeDecisions writes the module's decisions as they come.
func (h *host) writeDecisions(rt *router) {
	w := &h.reply
	for {
		d := rt.brain.Next()
		switch d.Kind {
		case brain.NoDecision:
			return
		case brain.Terms:
			w.AssignTerms(rt.id, d.Batch.ID, d.Memory, uint8(d.Priority))
		case brain.Dispatch:
			w.Try(rt.id, d.Batch.ID, d.Engine.ID, d.Wait*1000)
		case brain.Reject:
			w.Bounce(rt.id, d.Batch.ID, d.Wait*1000)
			rt.removeIfFinished(d.Batch)
		case brain.Fail:
			w.EndFailed(rt.id, d.Batch.ID)
			rt.removeIfFinished(d.Batch)
		case brain.Cancel:
			w.StopAttempt(rt.id, d.Batch.ID, uint16(d.Number))
		case brain.Probe:
			w.Poll(rt.id, d.Engine.ID)
		case brain.WakeAt:
			w.NotifyMe(rt.id, d.At*1000, 0)
		case brain.Subscribe:
			w.Listen(rt.id)
		case brain.Log:
			w.Print(rt.id, d.Text)
		}
	}
}
