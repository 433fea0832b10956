#include "app/internal/console_page.h"

namespace limpetrudder {
namespace {

constexpr std::string_view kPage = R"html(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>limpetrudder console</title>
<style>
body { font: 15px/1.4 sans-serif; margin: 1.5em auto; max-width: 70em; }
h1 { font-size: 1.3em; } h2 { font-size: 1.1em; margin-top: 1.6em; }
table { border-collapse: collapse; } th { text-align: left; }
td, th { padding: .2em .6em; border-bottom: 1px solid #ddd; }
input[type=number] { width: 6em; } textarea { width: 100%; height: 14em; }
.fault { color: #a00; } .good { color: #060; } .quiet { color: #666; }
pre { background: #f6f6f6; padding: .6em; overflow: auto; }
.add { background: #dfd; } .drop { background: #fdd; }
button { margin-right: .5em; }
</style>
</head>
<body>
<h1>limpetrudder</h1>
<form id="login"><label>Operators' token
<input id="token" type="password" autocomplete="off"></label>
<button>Load</button> <span id="notice" class="quiet"></span></form>
<main id="main" hidden>
<p>Based on revision <b id="base"></b>.</p>
<h2>Collections</h2><table id="collections"></table>
<h2>Servers</h2>
<p class="quiet">Tick a server that leaves; it gets no new work within seconds.</p>
<label>Show those whose name has <input id="filter"></label>
<table id="servers"></table>
<h2>Callers</h2><table id="callers"></table>
<h2>The whole document</h2>
<p class="quiet">What the forms don't cover is edited here.</p>
<textarea id="text" spellcheck="false"></textarea>
<h2>Change</h2>
<p><label>Your name <input id="author" maxlength="64"></label>
<label>Reason <input id="reason" size="50" maxlength="200"></label></p>
<p><button id="check" type="button">Check</button>
<button id="submit" type="button">Submit</button></p>
<div id="outcome"></div>
<h2>Difference to the revision in force</h2><pre id="difference">none</pre>
<h2>Fleet</h2><div id="fleet"></div>
</main>
<script>
'use strict';
const el = id => document.getElementById(id);
let inForce = null, draft = null, changeId = null, watching = null;

async function call(method, path, body) {
  const reply = await fetch(path, {method, body,
    headers: {'Authorization': 'Bearer ' + el('token').value}});
  return {status: reply.status, body: await reply.json()};
}
function cell(row, content) {
  const td = row.insertCell();
  if (content instanceof Node) td.append(content); else td.textContent = content;
}
function heads(table, names) {
  table.replaceChildren();
  const row = table.insertRow();
  for (const name of names) {
    const th = document.createElement('th');
    th.textContent = name;
    row.append(th);
  }
}
function field(type, value, store, label) {
  const input = document.createElement('input');
  input.type = type;
  input.setAttribute('aria-label', label);
  if (type === 'checkbox') input.checked = value; else input.value = value;
  if (type === 'number') input.step = 'any';
  input.onchange = () => {
    store(type === 'checkbox' ? input.checked
        : type === 'number' ? Number(input.value) : input.value);
    show(false);
  };
  return input;
}
function choice(values, value, store, label) {
  const select = document.createElement('select');
  select.setAttribute('aria-label', label);
  for (const v of values) select.add(new Option(v, v, false, v === value));
  select.onchange = () => { store(select.value); show(false); };
  return select;
}
function showCollections() {
  heads(el('collections'), ['name', 'coverage policy', 'deadline ms',
    'extra load %', 'strategy', 'map epoch', 'shards']);
  for (const c of draft.collections) {
    const row = el('collections').insertRow();
    cell(row, c.name);
    cell(row, choice(['whole', 'coverage_first', 'tail_first'],
      c.coverage_policy || 'coverage_first', v => c.coverage_policy = v,
      c.name + ' coverage policy'));
    cell(row, field('number', c.deadline_ms, v => c.deadline_ms = v,
      c.name + ' deadline'));
    cell(row, field('number', c.extra_load_percent ?? 3,
      v => c.extra_load_percent = v, c.name + ' extra load'));
    cell(row, choice(['adaptive', 'baseline'], c.strategy || 'adaptive',
      v => c.strategy = v, c.name + ' strategy'));
    cell(row, c.map_epoch);
    cell(row, c.services.reduce((n, s) => n + s.shards.length, 0));
  }
}
function showServers() {
  heads(el('servers'), ['server', 'shard', 'data centre', 'address', 'slots',
    'connections', 'leaving']);
  const wanted = el('filter').value;
  let shown = 0;
  for (const c of draft.collections) for (const s of c.services)
    for (const shard of s.shards) for (const server of shard.servers) {
      if (!server.name.includes(wanted) || ++shown > 100) continue;
      const row = el('servers').insertRow();
      for (const value of [server.name, shard.name, server.data_centre,
        server.address, server.slots, server.connections]) cell(row, value);
      cell(row, field('checkbox', !!server.leaving,
        v => { if (v) server.leaving = true; else delete server.leaving; },
        server.name + ' leaving'));
    }
  if (shown > 100) {
    const row = el('servers').insertRow();
    cell(row, (shown - 100) + ' more; narrow the name');
  }
}
function showCallers() {
  heads(el('callers'), ['name', 'class', 'may write', 'collections']);
  for (const caller of draft.callers.slice(0, 100)) {
    const row = el('callers').insertRow();
    cell(row, caller.name);
    cell(row, choice(['till', 'captain', 'mender', 'browse', 'importer',
      'report'], caller.class, v => caller.class = v, caller.name + ' class'));
    cell(row, field('checkbox', !!caller.may_write, v => caller.may_write = v,
      caller.name + ' may write'));
    cell(row, field('text', caller.collections.join(' '),
      v => caller.collections = v.split(/[ ,]+/).filter(x => x),
      caller.name + ' collections'));
  }
}
function lines(json) { return JSON.stringify(json, null, 1).split('\n'); }
function showDifference() {
  const before = lines(inForce), after = lines(draft), out = el('difference');
  out.replaceChildren();
  let start = 0;
  while (start < before.length && before[start] === after[start]) start++;
  let b = before.length, a = after.length;
  while (b > start && a > start && before[b - 1] === after[a - 1]) { b--; a--; }
  const add = (text, kind) => {
    const span = document.createElement('div');
    span.className = kind;
    span.textContent = text;
    out.append(span);
  };
  if (start === b && start === a) return add('none', '');
  const old = new Set(before.slice(start, b)), now = new Set(after.slice(start, a));
  for (const line of before.slice(start, b)) if (!now.has(line)) add('- ' + line, 'drop');
  for (const line of after.slice(start, a)) if (!old.has(line)) add('+ ' + line, 'add');
}
function show(fromText) {
  changeId = null;
  showCollections(); showServers(); showCallers(); showDifference();
  if (!fromText) el('text').value = JSON.stringify(draft, null, 1);
}
function say(text, kind) {
  const p = document.createElement('p');
  p.textContent = text;
  p.className = kind;
  el('outcome').append(p);
}
function sayFaults(faults) {
  for (const f of faults)
    say(f.code.number + ' ' + f.code.name + ' at ' + (f.pointer || '/') + ': ' +
      f.message, 'fault');
}
async function load() {
  const reply = await call('GET', '/v1/config');
  if (reply.status !== 200) {
    el('notice').textContent = reply.body.message;
    el('notice').className = 'fault';
    if (reply.body.code.number !== 2008) return;
    reply.body = {revision: 0, document:
      {format: 1, data_centres: [], collections: [], callers: []}};
  } else {
    el('notice').textContent = '';
  }
  inForce = reply.body.document;
  draft = structuredClone(inForce);
  el('base').textContent = reply.body.revision;
  el('main').hidden = false;
  show(false);
  showFleet();
}
async function check() {
  el('outcome').replaceChildren();
  const reply = await call('POST', '/v1/config/check', JSON.stringify(draft));
  if (reply.body.accepted) say('The document is sound.', 'good');
  else sayFaults(reply.body.faults);
  return reply.body.accepted;
}
async function submit() {
  if (!await check()) return;
  if (!el('author').value || !el('reason').value)
    return say('Give your name and the reason first.', 'fault');
  changeId = changeId || crypto.getRandomValues(new Uint32Array(2)).join('-');
  const reply = await call('POST', '/v1/config', JSON.stringify({
    change_id: changeId, base_revision: Number(el('base').textContent),
    author: el('author').value, reason: el('reason').value, document: draft}));
  const body = reply.body;
  if (body.faults) return sayFaults(body.faults);
  switch (body.code.name) {
    case 'ok':
      say('Accepted as revision ' + body.revision + '.', 'good');
      inForce = structuredClone(draft);
      el('base').textContent = body.revision;
      showDifference();
      changeId = null;
      showFleet();
      break;
    case 'config_outcome_unknown':
      say('The platform did not say whether the change took effect. Submit ' +
        'again: it is the same change, ' + changeId + '.', 'fault');
      break;
    case 'config_conflict':
      say('Conflict: ' + body.message + '. Load again and repeat your edit.',
        'fault');
      for (const r of body.since_base || [])
        say('Revision ' + r.revision + ' by ' + r.author + ': ' + r.reason, 'quiet');
      break;
    default:
      say(body.code.number + ' ' + body.code.name + ': ' + body.message, 'fault');
  }
}
async function showFleet() {
  clearTimeout(watching);
  const reply = await call('GET', '/v1/status');
  if (reply.status === 200) {
    const out = document.createElement('table');
    heads(out, ['data centre', 'instances alive', 'at revision ' +
      reply.body.revision, 'behind', 'not asked or silent']);
    const places = {};
    for (const i of reply.body.instances) {
      const p = places[i.data_centre] ||= {alive: 0, at: 0, behind: [], silent: 0};
      if (i.state === 'alive') p.alive++;
      if (i.revision == null) p.silent++;
      else if (i.behind) p.behind.push(i.name + ' (' + i.revision + ')');
      else p.at++;
    }
    for (const [name, p] of Object.entries(places).sort()) {
      const row = out.insertRow();
      for (const v of [name, p.alive, p.at, p.behind.join(', ') || 'none', p.silent])
        cell(row, v);
    }
    el('fleet').replaceChildren(out);
  }
  watching = setTimeout(showFleet, 3000);
}
el('login').onsubmit = event => { event.preventDefault(); load(); };
el('filter').oninput = showServers;
el('text').onchange = () => {
  el('outcome').replaceChildren();
  try { draft = JSON.parse(el('text').value); show(true); }
  catch (error) { say('The text is not JSON: ' + error.message, 'fault'); }
};
el('check').onclick = check;
el('submit').onclick = submit;
</script>
</body>
</html>
)html";

}  // namespace

std::string_view ConsolePage() {
  return kPage;
}

}  // namespace limpetrudder
