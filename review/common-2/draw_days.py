"""Draws the days that the second review played besides its cases (REPORT-2.md): draw_days.py SITE PROFILE SEED prints one.

Run in the repository's root. SITE is a key of SITE below. Doses are at most those of the site files and of `fleetbench kinds`.
"""
import random, json, sys, os, subprocess, itertools, time
SITE={'q':'sites/cca-quito','a':'sites/atlantico-sede','s':'further/spmp-migra','sg':'further-grown/spmp-migra-grown','dk':'demands/dk-sofia-grown','qg':'grown/cca-quito-grown','ks':'demands/kswh-flags-grown','now':'shifted/atlantico-sede-now-grown'}
import tomllib
BASE='../given/kit/more/system/'
def site(k):
    d=tomllib.load(open(BASE+SITE[k]+'.toml','rb'))
    return d
def t(v):
    if isinstance(v,str): return '"%s"'%v
    if isinstance(v,bool): return 'true' if v else 'false'
    return repr(v)
def gen(seed, n=(10,18), profile='all', sk='q'):
    r=random.Random(seed); SD=site(sk)
    L=r.choice([45,60,75,90])
    zones=[z['name'] for z in SD['zones']]
    svc=[x['name'] for x in SD['services']]
    cls=[x['name'] for x in SD['classes']]
    U=r.uniform
    def o(s,p=.5): return s if r.random()<p else ''
    def meet(): return ' '.join(x for x in [o('meet',.3),o('drain',.3),o('revoke',.2)] if x)
    def j(*a): return ' '.join(x for x in a if x)
    F={
    'after_ack_kill':lambda:dict(for_s=3.0,how=r.choice(['kill','','timed'])),
    'answer_lost':lambda:dict(share=r.choice([.45,.6]),x=r.choice([.025,.06,.3,.4]),for_s=6.0,how=r.choice(['','reset']),service=r.choice(svc)),
    'burst':lambda:dict(x=1.7,for_s=3.0),
    'clock_step':lambda:dict(share=.3,x=2400.0,for_s=6.0,how=r.choice(['','back','ahead','leader'])),
    'core_cut':lambda:dict(count=1,for_s=5.5,how=j(r.choice(['','leader','near','all','one_way']),meet())),
    'node_kill':lambda:dict(on='core',count=1,for_s=3.5,how=j(r.choice(['','power']),r.choice(['leader','','turn']),r.choice(['','meet','race']),o('drain',.3))),
    'srv_crash':lambda:dict(service=r.choice(svc),share=r.choice([.17,.5,.95]),for_s=r.choice([1.2,4.5]),how=r.choice(['','dark','dark','gone']),zone=r.choice(zones)),
    'garble':lambda:dict(share=r.choice([.46,.6]),x=r.choice([.02,.03,.05]),for_s=6.0,how=r.choice(['','extra','extra late','unframed','early'])),
    'give_up':lambda:dict(share=.3,for_s=5.5,**({'x':1500.0} if r.random()<.4 else {})),
    'herd_kill':lambda:dict(share=.6,for_s=2.0,how=r.choice(['','power','off'])),
    'hot_key':lambda:dict(share=.28,for_s=5.5,**{'class':cls[1]}),
    'lossy':lambda:dict(x=.0398,for_s=5.5,zone=r.choice(zones)),
    'node_cut':lambda:dict(share=.35,for_s=r.choice([5.5,8.0,12.0]),how=j(r.choice(['','reset','all','servers']),meet())),
    'node_slow':lambda:dict(share=.17,x=5.5,for_s=5.5),
    'platform_compact':lambda:dict(x=6.0,for_s=12.0,how=r.choice(['','drain'])),
    'platform_down':lambda:dict(for_s=r.choice([4.5,8.0]),how=r.choice(['silent','busy','reset'])) if r.random()<.5 else dict(how=j('nodes',r.choice(['busy','many','reset','']),meet()),share=.35,for_s=9.0),
    'platform_lost':lambda:dict(x=.35,for_s=4.5,how=r.choice(['','late'])),
    'platform_slow':lambda:dict(x=60.0,for_s=4.5),
    'retry_abuse':lambda:dict(x=3.0,share=.3,for_s=5.5),
    'srv_grey':lambda:dict(share=.15,x=.45,for_s=6.5,how=r.choice(['errors','shed','busy','hang','reset','mute'])),
    'srv_slow':lambda:dict(share=.15,x=4.0,for_s=5.0),
    'srv_cut':lambda:dict(share=.2,for_s=5.0,how=r.choice(['','fronts','some','one_way','reset','reborn'])),
    'replace_with_reuse':lambda:dict(share=.15,for_s=5.0,how=r.choice(['','drain','dark'])),
    'node_freeze':lambda:dict(share=.1,for_s=5.0,how=r.choice(['','renewed','meet','drain'])),
    'reset_conns':lambda:dict(share=.1,x=.5),
    'zone_cut':lambda:dict(for_s=r.choice([3.0,5.5]),how=r.choice(['','refuse','drop','reset']),zone=r.choice(zones)),
    }
    P={
    'config_change':lambda:dict(how=r.choice(['timeout','tenant','route','weights','quota'])),
    'config_storm':lambda:dict(for_s=4.0,gap_s=r.choice([.06,.17,.33])),
    'big_config':lambda:dict(count=400),
    'release':lambda:dict(share=.46,x=1.0,gap_s=1.0,service=r.choice(svc)),
    'scale_in':lambda:dict(share=.25),
    'revoke':lambda:dict(count=3,gap_s=r.choice([.1,.4,1.5])),
    'roll_term':lambda:dict(share=r.choice([.45,1.0]),x=r.choice([1.0,1.0,2.0]),gap_s=r.choice([1.0,2.0]),how=r.choice(['','busy'])),
    'scale_out':lambda:dict(share=.3,gap_s=1.0),
    'hup':lambda:dict(share=.3,gap_s=1.0),
    }
    prof={'fwd':['answer_lost','garble','srv_grey','srv_crash','srv_slow','srv_cut','node_freeze','reset_conns','lossy','node_cut','zone_cut','node_slow','give_up','retry_abuse','replace_with_reuse','burst','platform_slow'],
          'store':['platform_compact','platform_down','platform_lost','platform_slow','core_cut','node_kill','node_freeze','clock_step','node_cut','after_ack_kill','herd_kill','zone_cut','replace_with_reuse','srv_crash','reset_conns','srv_cut']}
    kf=list(F) if profile in('all','plan') else prof.get(profile,prof['fwd'])
    nf=r.randint(*n); np=r.randint(2,7)
    if profile=='plan': nf=0; np=r.randint(12,30)
    if profile=='mild': nf=r.randint(2,5); np=r.randint(6,14)
    faults=[]; plan=[]
    ks=r.sample(kf,min(len(kf),r.randint(3,8)))
    for _ in range(nf):
        k=r.choice(ks); d=dict(kind=k,at=round(U(0.3,L-18),2)); d.update(F[k]()); faults.append({a:b for a,b in d.items() if b!='' or a!='how'})
    for _ in range(np):
        k=r.choice(list(P)); d=dict(kind=k,at=round(U(0.3,L-18),2)); d.update(P[k]()); plan.append({a:b for a,b in d.items() if b!=''})
    s='name = "x%d"\nlength_s = %.1f\n'%(seed,L)
    if r.random()<.5: s+='closing = { kind = "%s", down_s = %.2f }\n'%(r.choice(['power_off_all','kill_all']),r.choice([.5,1.3]))
    for nm,l in(('plan',plan),('faults',faults)):
        s+=nm+' = [\n'+''.join('  { '+', '.join('%s = %s'%(a,t(b)) for a,b in e.items())+' },\n' for e in l)+']\n'
    return s
if __name__ == '__main__':
    print(gen(int(sys.argv[3]), profile=sys.argv[2], sk=sys.argv[1]))
