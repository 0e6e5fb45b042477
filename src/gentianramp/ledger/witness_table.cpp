#include "witness_table.hpp"

#include <algorithm>
#include <tuple>

namespace gentianramp {

namespace {

/// Raises @p known to what @p facts add; true when they add something.
bool raise(proto::FolderFacts &known, const proto::FolderFacts &facts)
{
    bool news = false;
    if (facts.term() > known.term()) {
        known.set_term(facts.term());
        news = true;
    }
    if (std::tuple(facts.match_term(), facts.match_index())
        > std::tuple(known.match_term(), known.match_index())) {
        known.set_match_term(facts.match_term());
        known.set_match_index(facts.match_index());
        news = true;
    }
    if (facts.committed() > known.committed()) {
        known.set_committed(facts.committed());
        news = true;
    }
    return news;
}

bool exceeds(const proto::FolderFacts &facts, const StartState &start)
{
    return facts.term() > start.term
        || (facts.match_term() == start.term && facts.match_index() > start.lastIndex)
        || facts.committed() > start.lastIndex;
}

} // namespace

bool provesRollback(const proto::Witness &witness, const Life &own, const StartState &start)
{
    if (witness.identity() != own.identity)
        return false;
    if (exceeds(witness.before(), start))
        return true;
    if (witness.session() == own.session)
        return false;
    return witness.boot() >= own.boot || exceeds(witness.life(), start);
}

void WitnessTable::observe(const std::string &instance, const Life &life)
{
    proto::Witness witness;
    witness.set_instance(instance);
    witness.set_identity(life.identity);
    witness.set_boot(life.boot);
    witness.set_session(life.session);
    witness.mutable_life()->set_term(life.term);
    merge(witness);
}

void WitnessTable::acknowledge(const std::string &instance, const Life &life, std::uint64_t term,
                               std::uint64_t index, std::uint64_t committed)
{
    const auto found = m_witnesses.find(instance);
    if (found == m_witnesses.end() || found->second.identity() != life.identity
        || found->second.session() != life.session)
        return;
    proto::FolderFacts facts;
    facts.set_match_term(term);
    facts.set_match_index(index);
    facts.set_committed(committed);
    raise(*found->second.mutable_life(), facts);
}

bool WitnessTable::merge(const proto::Witness &witness)
{
    proto::Witness &known = m_witnesses[witness.instance()];
    if (known.identity() != witness.identity()) {
        known = witness;
        return true;
    }
    bool news = raise(*known.mutable_before(), witness.before());
    if (witness.session() == known.session())
        return raise(*known.mutable_life(), witness.life()) || news;
    if (witness.boot() <= known.boot())
        return raise(*known.mutable_before(), witness.life()) || news;
    raise(*known.mutable_before(), known.life());
    known.set_boot(witness.boot());
    known.set_session(witness.session());
    *known.mutable_life() = witness.life();
    return true;
}

void WitnessTable::retain(const IdentityMap &admitted)
{
    std::erase_if(m_witnesses, [&](const auto &item) {
        const auto found = admitted.find(item.first);
        return found == admitted.end() || found->second != item.second.identity();
    });
}

bool WitnessTable::contradicts(const std::string &instance, const Life &life,
                               std::uint64_t lastIndex) const
{
    const auto found = m_witnesses.find(instance);
    if (found == m_witnesses.end())
        return false;
    return provesRollback(found->second, life, {.term = life.term, .lastIndex = lastIndex});
}

std::vector<proto::Witness> WitnessTable::all() const
{
    std::vector<proto::Witness> witnesses;
    witnesses.reserve(m_witnesses.size());
    for (const auto &[instance, witness] : m_witnesses)
        witnesses.push_back(witness);
    return witnesses;
}

} // namespace gentianramp
