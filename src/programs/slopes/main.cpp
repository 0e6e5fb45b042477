#include "slopes.hpp"

#include <boost/program_options.hpp>
#include <iostream>

// Measures what state and work grow with, for docs/CAPACITY.md. Prints figures.

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("gentianramp-slopes: measures state and work by size");
    description.add_options()("help", "print this text")(
        "seed", po::value<std::uint64_t>()->default_value(1), "of all random choices");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help")) {
            std::cout << description;
            return 0;
        }
        const auto seed = values["seed"].as<std::uint64_t>();
        gentianramp::measureRouter(seed);
        gentianramp::measureLimits(seed);
        gentianramp::measureDemand();
        gentianramp::measureConfiguration();
        gentianramp::measureFleet();
        gentianramp::measureKeys(seed);
        return 0;
    } catch (const po::error &problem) {
        std::cerr << "gentianramp-slopes: " << problem.what() << "\n";
        return 2;
    }
}
