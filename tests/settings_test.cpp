// Tests the parsing of settings files and the errors for invalid ones.
#include "agent/src/agent_config.hpp"
#include "entry/src/entry_config.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace celerylift {

namespace {

const std::string valid_entry = R"(name: entry-1
cell: za-north
listen:
  rpc: 127.0.0.1:7101
  control: 127.0.0.1:7201
  http: 127.0.0.1:7301
store:
  address: 127.0.0.1:7000
peers:
  - name: entry-2
    control: 127.0.0.1:7202
)";

const std::string valid_agent = R"(name: agent-1
failure_domain: za-north-a
rack: rack-1
listen:
  http: 127.0.0.1:7401
entries:
  - name: entry-1
    control: 127.0.0.1:7201
worker:
  id: worker-1
  address: 127.0.0.1:7501
  accelerators: 8
)";

/// A settings file that is removed after the test.
class settings : public ::testing::Test {
protected:
    ~settings() override { std::remove(file_.c_str()); }

    std::string written(std::string text, const std::string& from = {},
                        const std::string& to = {}) {
        if (const auto at = text.find(from); !from.empty())
            text.replace(at, from.size(), to);
        std::ofstream(file_) << text;
        return file_;
    }

    std::string agent_problem(const std::string& from, const std::string& to) {
        const auto read =
            agent::read_agent_config(written(valid_agent, from, to));
        return error_of(read) ? error_of(read)->message : "";
    }

    std::string file_ =
        testing::TempDir() + "settings-" + std::to_string(::getpid());
};

TEST_F(settings, of_an_entry_are_read_whole) {
    const auto read = entry::read_entry_config(written(valid_entry));
    ASSERT_FALSE(error_of(read));
    const auto& config = std::get<entry::entry_config>(read);
    EXPECT_EQ(config.cell, "za-north");
    EXPECT_EQ(config.peers.at("entry-2").port, 7202);
}

TEST_F(settings, of_an_agent_are_read_whole) {
    const auto read = agent::read_agent_config(written(valid_agent));
    ASSERT_FALSE(error_of(read));
    const auto& config = std::get<agent::agent_config>(read);
    EXPECT_EQ(config.worker.accelerators, 8);
    EXPECT_EQ(config.worker.rack, "rack-1");
}

TEST_F(settings, with_an_unknown_key_name_line_key_and_what_is_allowed) {
    EXPECT_EQ(agent_problem("rack: rack-1", "rack: rack-1\nracks: 2"),
              file_ + ":4: racks: found an unknown key; allowed is one of "
                      "entries, failure_domain, listen, name, rack, worker");
}

TEST_F(settings, with_a_unit_or_a_value_out_of_range_say_what_is_allowed) {
    const std::string allowed =
        "; allowed is a whole number from 1 to 16, without a unit";
    EXPECT_EQ(agent_problem("accelerators: 8", "accelerators: 8gpu"),
              file_ + ":12: worker.accelerators: found '8gpu'" + allowed);
    EXPECT_EQ(agent_problem("accelerators: 8", "accelerators: 17"),
              file_ + ":12: worker.accelerators: found '17'" + allowed);
}

TEST_F(settings, with_a_host_name_ask_for_an_ip_number) {
    EXPECT_EQ(agent_problem("127.0.0.1:7401", "localhost:7401"),
              file_ + ":5: listen.http: found 'localhost:7401'; allowed is an "
                      "IPv4 number and a port, such as 127.0.0.1:7101");
}

TEST_F(settings, without_a_required_key_or_entry_are_refused) {
    EXPECT_NE(agent_problem("rack: rack-1\n", "").find("rack: found nothing"),
              std::string::npos);
    EXPECT_NE(agent_problem("entries:\n  - name: entry-1\n    control: "
                            "127.0.0.1:7201\n",
                            "entries: []\n")
                  .find("entries: found none; allowed is at least one"),
              std::string::npos);
}

TEST_F(settings, that_are_missing_or_no_yaml_name_the_file) {
    const auto missing = entry::read_entry_config("/nowhere/entry.yaml");
    EXPECT_EQ(error_of(missing)->message,
              "/nowhere/entry.yaml: can't be read; check the path and its "
              "rights");
    const auto broken = entry::read_entry_config(written("name: [entry"));
    EXPECT_NE(error_of(broken)->message.find("is not YAML"), std::string::npos);
}

} // namespace

} // namespace celerylift
