package talk

import "pitchfield/internal/news"

func encodeNews(m *news.Message) *News {
	out := &News{Down: m.Kind == news.Down, Routers: uint32(m.Routers), Age: float32(m.Age)}
	for _, l := range m.Loads {
		out.Loads = append(out.Loads, &Load{Engine: l.Engine, Start: l.Start, Threads: float32(l.Threads), Memory: float32(l.Memory)})
	}
	return out
}

// decodeNews takes in what a sender says; whether its figures can be is for who uses them.
func decodeNews(p *News) (*news.Message, bool) {
	if p == nil || len(p.Loads) > news.MaxLoads || p.Routers == 0 || p.Routers > 1<<24 || !(p.Age >= 0 && p.Age < maxSeconds) {
		return nil, false
	}
	m := &news.Message{Kind: news.Up, Routers: int(p.Routers), Age: float64(p.Age)}
	if p.Down {
		m.Kind = news.Down
	}
	for _, l := range p.Loads {
		m.Loads = append(m.Loads, news.Load{EngineStart: news.EngineStart{Engine: l.Engine, Start: l.Start}, Threads: float64(l.Threads), Memory: float64(l.Memory)})
	}
	return m, true
}
